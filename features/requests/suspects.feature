@always_2 @always_3
Feature: A request that crashes endpoints is stopped
  Guards against one request, sent again by its caller, that takes down every endpoint.

  Scenario: The final answer comes after two crashes, at every entry instance
    Given a request fleet of 6 agents and 3 entries
    When a request that crashes engines is sent to every request entry in turn
    Then the request engines crashed 2 times
    And the first request error is crashes with verdict may_have_run
    And the later request errors are crashes with verdict not_run
    And every request final came within 0.5 seconds

  Scenario: Other requests of the client are answered
    Given a request fleet of 6 agents and 3 entries
    When a request that crashes engines runs beside 12 other stream requests
    Then the request engines crashed 2 times
    And the other request outcomes are complete
    And no other request is blocked

  Scenario: A request that ran beside the one that crashes engines is not blocked
    Given a request fleet of 3 agents and 1 entries
    When two stream requests share the first free endpoint and one crashes engines
    Then the other request outcomes are complete
    And the request engines crashed 2 times

  Scenario: Copies in flight are stopped at the second crash
    Given a request fleet of 6 agents and 3 entries
    When a request that crashes engines is sent 8 times, 5 milliseconds apart
    Then the request engines crashed at most 3 times
    And every request final came within 0.5 seconds

  Scenario: The suspicion expires
    Given a request fleet of 6 agents and 1 entries
    When a request that crashes engines is sent again after 601 seconds
    Then the request engines crashed 4 times

  Scenario: Copies on one endpoint are one crash
    Given a request fleet of 1 agents and 2 entries
    When two copies of a request run at both entries on an engine that crashes
    Then the request content was part of 1 crash at every entry

  Scenario: Suspicions are bounded
    Given a request fleet of 1 agents and 1 entries
    When 1500 request contents are each part of a crash
    Then at most 1000 request suspicions are held
    And a request content with two crashes is still blocked
