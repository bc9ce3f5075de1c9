Feature: Admission under overload
  Requests that cannot meet the objective must be answered early, the least urgent
  first, and none may hold a place in the queue that it can no longer use.

  Scenario Outline: A request that <case> is answered at once as <reason>
    Given an admission queue with an objective of 0.88 s
    When the admission queue meets the case "<case>"
    Then the admission queue sheds that request as "<reason>" with a time to retry

    Examples:
      | case                                    | reason     |
      | is past its deadline                    | deadline   |
      | reaches its deadline in the queue       | deadline   |
      | waits longer than the objective allows  | waited     |
      | would wait longer than that             | would_wait |
      | finds the queue full                    | queue_full |
      | is less urgent than a new one at a full queue | displaced |

  Scenario: The wait that is allowed leaves the usual time to first token
    Given an admission queue with an objective of 0.88 s
    When the admission queue sees 200 first tokens after 0.5 s
    Then the admission queue allows a wait between 0.3 s and 0.39 s

  Scenario: Requests start by priority, then in order of arrival
    Given an admission queue with an objective of 0.88 s
    When the admission queue takes requests of the priorities "5, 1, 9, 1, 5"
    Then the admission queue starts them in the order "2, 4, 1, 5, 3"

  Scenario: In overload the urgent requests are the ones that run
    Given an admission queue with an objective of 0.88 s
    When the admission queue gets 40/s, a quarter urgent, and starts 20/s for 20 s
    Then the admission queue started at least 98% of the urgent requests
    And the admission queue started at least 18 requests a second
    And the admission queue shed no request after more than 0.6 s

  Scenario: A request is passed over a bounded number of times
    Given an admission queue with an objective of 0.88 s
    When the admission queue starts a later request 8 times
    Then the admission queue offers only the first request

  Scenario: A withdrawn request leaves the queue
    Given an admission queue with an objective of 0.88 s
    When the admission queue takes requests of the priorities "5, 5"
    And the caller of the first request disconnects
    Then the admission queue starts them in the order "2"

  Scenario: A burst after a quiet time is not taken for overload
    Given an admission queue with an objective of 0.88 s
    When the admission queue starts 1/s at once for 20 s and then gets 30
    Then the admission queue sheds nothing

  Scenario: The table of rows is bounded
    Given an admission queue with an objective of 0.88 s
    When the admission queue meets 2100 rows one after the other
    Then the admission queue has counted 52 rows that it dropped

  Scenario: Rows do not wait for each other
    Given an admission queue with an objective of 0.88 s
    When the admission queue holds 50 requests of a row without endpoints
    Then the admission queue offers a request of another row
