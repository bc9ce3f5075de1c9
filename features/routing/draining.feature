Feature: Planned stop
  A planned stop must not interrupt a request, must not leave a sender in doubt whether
  its work ran, and must end even if work, peers or the table service do not.

  @always_6
  Scenario Outline: A planned stop interrupts nothing while <fault>
    Given a fleet of 3 endpoints with 2 entry instances under steady requests
    When the fleet stops endpoint "a" as planned while <fault>
    Then the fleet has answered every request in progress at the stop
    And the fleet left no sender in doubt about its work
    And the fleet took no new work at endpoint "a" after the stop
    And the fleet ended endpoint "a" within <limit> s

    Examples:
      | fault                                   | limit |
      | nothing fails                           | 4     |
      | the table service is down               | 4     |
      | an entry instance is killed             | 4     |
      | the announcement is lost                | 4     |
      | a partition cuts off one entry for 5 s  | 8     |
      | the endpoint is paused for 20 s         | 24    |
      | the endpoint is paused twice            | 18    |
      | two operators stop it                   | 4     |
      | a second endpoint is killed             | 4     |

  @always_6
  Scenario: Senders learn of the stop at once
    Given a fleet of 3 endpoints with 2 entry instances under steady requests
    When the fleet stops endpoint "a" as planned while nothing fails
    Then the fleet sent at most 2 requests to endpoint "a" after the stop

  Scenario Outline: Work that outlasts the drain limit gets its verdict: <progress>
    Given a planned stop with a limit of 10 s and work that has <progress>
    When the planned stop is at 9.9 s
    Then the planned stop is still draining
    And the planned stop has repeated its announcement 9 times
    When the planned stop is at 10 s
    Then the planned stop ends the work as <verdict> and exits

    Examples:
      | progress    | verdict      |
      | not started | NOT_RUN      |
      | started     | MAY_HAVE_RUN |

  Scenario Outline: An agent leaves its entry in doubt when its engine <behaviour>
    Given an agent with work in progress
    When the agent is stopped and its engine <behaviour>
    Then the entry is told before the connection closes that the work <outcome>
    And the agent ends within <limit> s of the stop signal

    Examples:
      | behaviour                          | outcome      | limit |
      | does not answer                    | may have run | 10.1  |
      | answers during a freeze until 12 s | has run      | 12.2  |

  Scenario: Work that is sent twice holds up the stop of its agent
    Given an agent with work in progress
    When the agent is sent that work twice, answers it and is stopped
    Then the agent ends within 1.1 s of the stop signal

  Scenario: An entry instance ends before its caller has the answer to a call
    Given an entry instance with a call that may run once, held by its claim
    When the entry instance is stopped and the table service is silent
    Then its caller gets the verdict not_run before the process ends

  Scenario Outline: A stopping entry instance holds a request that <situation>, answers take <known>
    Given an entry instance whose answers take <known>
    When the entry instance is stopped while a request <situation>
    Then its caller is sent elsewhere within <limit> s of the stop signal

    Examples:
      | situation                        | known           | limit |
      | is being dialled                 | an unknown time | 0.2   |
      | is being dialled                 | 2 s             | 7.7   |
      | is refused by its agent at 9.5 s | 2 s             | 9.6   |
      | comes on an open connection      | 2 s             | 0.0   |

  Scenario Outline: The answer to a caller that reads <when> is cut at the end
    Given an entry instance whose caller has 1 MB of an answer to read
    When the entry instance is stopped and the caller reads <when>
    Then the entry instance ends <end>

    Examples:
      | when           | end                                |
      | after 3 s more | once the caller has read all of it |
      | nothing        | by itself                          |

  Scenario: A second stop request does not put the limit off
    Given a planned stop with a limit of 10 s and work that has started
    When the planned stop is requested again at 5 s
    And the planned stop is at 10 s
    Then the planned stop ends the work as MAY_HAVE_RUN and exits

  Scenario: An idle process refuses work on its way before it closes its connections
    Given a planned stop that finds nothing in progress
    When the planned stop is offered work that was on its way
    Then the planned stop refuses it and exits after 1 s

  Scenario: Repeated pauses do not put the end off for ever
    Given a planned stop with a limit of 10 s and work that has started
    When the planned stop is paused 5 times for 20 s
    Then the planned stop has exited

  Scenario: Work in progress is bounded
    Given a process that has accepted 10000 pieces of work
    When one more piece of work is offered
    Then the process refuses it as busy and counts it
