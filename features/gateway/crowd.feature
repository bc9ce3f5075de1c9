Feature: Many entry instances place calls on the same endpoints without filling one of them
  Reports of the calls of other instances are old where there are many, and an endpoint
  that looks least loaded looks so to all.

  Scenario Outline: <entries> entry instances at 80 % of the slots, seed <seed>
    Given a replay of <entries> entry instances that share endpoints
    When it is played for <duration> s with seed <seed>
    Then at most 1 in 20 arrivals at endpoints is refused

    Examples:
      | entries | duration | seed |
      | 6       | 3        | 1    |
      | 45      | 3        | 1    |
      | 100     | 2        | 1    |
      | 100     | 2        | 2    |

  Scenario: Instances that do not know how many others place calls fill single endpoints
    Given a replay of 100 entry instances that share endpoints
    When it is played for 2 s with seed 1
    Then endpoints refuse less than half as much as without knowledge of the crowd

  Scenario Outline: A report of an instance that reports every <period> s counts for <counts> s
    Given an endpoint and a report of 3 calls that comes every <period> s
    Then the calls count after <counts> s and no longer after <gone> s

    Examples:
      | period | counts | gone |
      | 0.2    | 1.4    | 1.6  |
      | 2.5    | 5.9    | 6.1  |

  @always_6
  Scenario Outline: <entries> entry instances start at once and retry what they can
    Given <entries> entry processes that have just started
    When each retries at a service until its budget is used, <before>
    Then all of them have sent at most <allowed> retries

    # The deployment allows 100 retries in a window, and no requests came.
    Examples:
      | entries | before                       | allowed |
      | 99      | before it reads the list     | 0       |
      | 99      | after it has read the list   | 100     |
      | 6       | after it has read the list   | 100     |

  Scenario: A report of an instance whose connection has just ended
    Given an entry process that has no connection to a peer
    When a report of that peer arrives
    Then it counts the calls of the report

  # Connections kept the call that had opened them, with its answer of up to 8 MB.
  Scenario: An idle connection to an endpoint keeps the answer of an earlier call
    Given a gateway with 1 endpoints and a route that may repeat
    When a call is answered on a new connection that stays open
    Then nothing of the call is kept
