@always_4
Feature: A call that may not be repeated is executed at most once
  Guards against a signature, payment advance or spring order that is executed again when
  its caller, an entry instance or the table service repeats something.

  Scenario Outline: The same key is sent again after <fault>
    Given a request fleet of 3 agents and 2 entries
    When a once request meets the faults <fault>
    And the request call is sent again <after> seconds later
    Then the request outcome is <outcome>
    And the request call ran <runs> times

    Examples:
      | fault                                | after | outcome      | runs |
      | none                                 | 1     | complete     | 1    |
      | table_response_lost                  | 1     | complete     | 1    |
      | table_request_lost                   | 1     | complete     | 1    |
      | table_effect_delayed                 | 1     | complete     | 1    |
      | table_response_lost table_read_failed | 1     | complete     | 1    |
      | table_effect_delayed table_read_failed | 1   | complete     | 1    |
      | table_unavailable                    | 1     | complete     | 1    |
      | table_silent                         | 8     | complete     | 1    |
      | claimer_paused                       | 0.5   | may_have_run | 0    |
      | claimer_paused                       | 6     | complete     | 1    |
      | connection_refused                   | 1     | complete     | 1    |
      | engine_refused                       | 1     | complete     | 1    |
      | lost_during_write                    | 1     | may_have_run | 0    |
      | lost_during_write                    | 6     | may_have_run | 0    |
      | lost_after_write                     | 1     | may_have_run | 1    |
      | engine_crash                         | 1     | may_have_run | 1    |
      | agent_killed                         | 1     | may_have_run | 1    |
      | engine_crossed                       | 1     | may_have_run | 1    |
      | engine_truncated                     | 1     | may_have_run | 1    |
      | part_lost                            | 1     | may_have_run | 1    |
      | work_duplicated                      | 1     | complete     | 1    |
      | late_response                        | 15    | complete     | 1    |

  Scenario Outline: A call that was not run may be sent again: <fault>
    Given a request fleet of 1 agents and 2 entries
    When a once request meets the faults <fault>
    Then the first request outcome is not_run
    When the request call is sent again 1 seconds later
    Then the request outcome is complete
    And the request call ran 1 times

    Examples:
      | fault              |
      | connection_refused |
      | lost_before_write  |
      | engine_refused     |
      | table_unavailable  |

  Scenario Outline: The entry instance is killed <step>
    Given a request fleet of 3 agents and 2 entries
    When a once request loses its entry after <killed_ms> milliseconds
    And the request call is sent again 1 seconds later
    Then the request outcome is <outcome>
    And the request call ran <runs> times

    Examples:
      | step                        | killed_ms | outcome      | runs |
      | before the claim            | 0.5       | complete     | 1    |
      | before the claim's response | 1.5       | may_have_run | 0    |
      | before the work is written  | 2.5       | may_have_run | 0    |
      | while the work is written   | 3.5       | may_have_run | 0    |
      | after the work was received | 4.5       | may_have_run | 1    |
      | while the call runs         | 20        | may_have_run | 1    |
      | after the result is stored  | 46.5      | complete     | 1    |

  Scenario: The same key reaches two entry instances at the same time
    Given a request fleet of 3 agents and 2 entries
    When the same once request is sent to both request entries
    Then the request call ran 1 times
    And one request outcome is complete and the other is may_have_run

  Scenario: The same key with other content is refused
    Given a request fleet of 3 agents and 2 entries
    When a once request meets the faults none
    And the request key is sent again with other content
    Then the request outcome is not_run
    And the request error is key_reused and says what to do next

  Scenario Outline: The caller has left after <delay> seconds and sends the call again
    Given a request fleet of 3 agents and 2 entries
    When a once request is left by its caller after <delay> seconds
    And the request call is sent again 1 seconds later
    Then the request outcome is complete
    And the request call ran 1 times

    Examples: while it is claimed, written and run
      | delay  |
      | 0.0005 |
      | 0.0015 |
      | 0.0025 |
      | 0.02   |

  Scenario: The result is not yet recorded when the entry instance is killed
    Given a request fleet of 3 agents and 2 entries
    When a once request is answered while the table service is down and its entry is killed
    And the request call is sent again 1 seconds later
    Then the request outcome is may_have_run
    And the request call ran 1 times

  Scenario: An agent does not run an older generation of a claim
    Given a request fleet of 1 agents and 1 entries
    When work of generation 2 and then of generation 1 reaches a request agent
    Then the request agent ran generation 2 only

  Scenario: Claims without a response do not keep the entry instance busy
    When 200 request claims get no response from random times on
    Then no request claim asks for a tick that is already due

  Scenario: Claims that wait share transactions
    Given a request fleet of 3 agents and 1 entries
    When 100 once requests are sent at the same time
    Then every request outcome is complete
    And the request table service saw at most 20 transactions

  Scenario Outline: A <write> whose transactions are all lost is repeated with a delay
    Guards against entry instances that overload a table service which fails only its
    writes.
    Given a request fleet of 3 agents and 2 entries
    When every request transaction is lost from <start> to 10 seconds after a once request
    Then the request table service saw at most 20 transactions
    And the request call is complete when sent again 15 seconds later

    Examples:
      | write  | start |
      | claim  | 0     |
      | result | 0.02  |

  Scenario: The first answer of a call is not held back by an outage of the table service
    Given a request fleet of 3 agents and 2 entries
    When the request table service is down from 0.02 to 3 seconds after a once request
    Then the request outcome is complete
    And the request call is complete when sent again 5 seconds later
