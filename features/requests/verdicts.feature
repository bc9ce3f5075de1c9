@always_3
Feature: A request that is reported as not run was not run
  Guards against an error that invites the caller to repeat work that was done.

  Scenario Outline: The only endpoint of a <kind> request fails: <fault>
    Given a request fleet of 1 agents and 1 entries
    When a <kind> request meets the faults <fault>
    Then the request outcome is <verdict>
    And the request error is <code> and says what to do next
    And the request ran <runs> times

    Examples:
      | kind   | fault              | verdict      | code           | runs |
      | stream | connection_refused | not_run      | no_endpoint    | 0    |
      | stream | lost_before_write  | not_run      | no_endpoint    | 0    |
      | stream | lost_during_write  | may_have_run | no_endpoint    | 0    |
      | stream | engine_refused     | not_run      | no_endpoint    | 0    |
      | stream | link_silent        | may_have_run | deadline       | 1    |
      | whole  | engine_crash       | may_have_run | no_endpoint    | 1    |
      | whole  | agent_killed       | may_have_run | no_endpoint    | 1    |
      | whole  | engine_lost        | may_have_run | no_endpoint    | 1    |
      | once   | connection_refused | not_run      | no_endpoint    | 0    |
      | once   | lost_before_write  | not_run      | no_endpoint    | 0    |
      | once   | lost_during_write  | may_have_run | not_repeatable | 0    |
      | once   | lost_after_write   | may_have_run | not_repeatable | 1    |
      | once   | engine_refused     | not_run      | no_endpoint    | 0    |
      | once   | engine_crash       | may_have_run | not_repeatable | 1    |
      | once   | agent_killed       | may_have_run | not_repeatable | 1    |
      | once   | engine_crossed     | may_have_run | not_repeatable | 1    |
      | once   | late_response      | may_have_run | deadline       | 1    |
      | once   | table_unavailable  | not_run      | unavailable    | 0    |

  Scenario Outline: A claim is refused <within> seconds after the table service is <state>
    Given a request fleet of 1 agents and 1 entries
    When a once request meets the faults <fault>
    Then the request outcome is not_run
    And the request final came after <within> seconds at most
    And the request error has a time after which to retry

    Examples:
      | state  | fault             | within |
      | down   | table_unavailable | 0.1    |
      | silent | table_silent      | 2.1    |

  Scenario: Few calls wait while the table service is silent
    Given a request fleet of 1 agents and 1 entries
    And a request table service that is silent
    When 20 once requests are sent one after the other
    Then 18 request finals came within 0.1 seconds
    And every request final came within 2.1 seconds
    And every request outcome is not_run

  Scenario Outline: A request left at the end of a planned stop gets its verdict: <kind>
    Given a request fleet of 1 agents and 1 entries
    When a <kind> request is answered because its entry stops after <delay> seconds
    Then the request outcome is <verdict>
    And the request error is stopping and says what to do next

    Examples:
      | kind  | delay  | verdict      |
      | whole | 0.0015 | not_run      |
      | whole | 0.02   | may_have_run |
      | once  | 0.0015 | not_run      |
      | once  | 0.0025 | not_run      |
      | once  | 0.02   | may_have_run |

  Scenario Outline: Work above a bound is refused and counted: <bound>
    Given a request fleet of 1 agents and 1 entries
    When requests reach the bound of <bound>
    Then the request above the bound is refused as <verdict> with <code>

    Examples:
      | bound            | verdict      | code                |
      | requests         | not_run      | no_endpoint         |
      | claims           | not_run      | queue_full          |
      | executions       | not_run      | the endpoint is full |
      | answer bytes     | may_have_run | answer_too_large    |
      | buffered bytes   | may_have_run | entry_full          |

  Scenario: Work left at the drain limit gets its verdict
    Given a request fleet of 1 agents and 1 entries
    When a whole request is running and its request agent drains with a limit of 0.01
    Then the request outcome is may_have_run
    And the request error is no_endpoint and says what to do next

  Scenario: A request cancelled before its work was written is never written
    Given a request fleet of 1 agents and 1 entries
    When a stream request is left by its caller after 0.0005 seconds
    Then the request ran 0 times

  Scenario: Work past its deadline does not reach the engine
    Given a request fleet of 1 agents and 1 entries
    When work with 0.0 seconds left reaches a request agent
    Then the request agent refuses it

  Scenario Outline: A <kind> request that waits for a connection begins too late
    Guards against work that reaches its agent with the time left before the wait.
    Given a request fleet of 1 agents and 1 entries
    When a <kind> request waits 3.97 of its 4 seconds for a connection to its agent
    Then the request outcome is not_run
    And the request ran 0 times

    Examples:
      | kind   |
      | stream |
      | whole  |
      | once   |

  Scenario: A copy of work that was refused does not run
    Given a request fleet of 1 agents and 1 entries
    When a once request meets the faults engine_refused work_duplicated
    Then the request outcome is not_run
    And the request ran 0 times

  Scenario: No invariant of requests is broken with every fault at once
    When 1500 calls run through a faulty request fleet with seed 7
    Then no caller was lost, crossed, misinformed or served twice

  Scenario: Retries stay within their budget when a third of the endpoints fail
    When a third of the request endpoints fail
    Then the request retries amplify at most 1.1 times
