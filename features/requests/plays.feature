Feature: Requests through agents end by their whole answer or their verdict
  Engines that pause, agents that drain, leave or are replaced, lost connections, an
  outage of the table service, callers that leave and a stop overlap.

  @always_2
  Scenario: Generated plays of requests through entries and agents
    When generated plays of requests are run
    Then every request ends by its whole answer, its verdict or its deadline
    And the plays of requests had whole answers and every verdict
