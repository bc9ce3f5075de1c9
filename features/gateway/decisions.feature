Feature: Where calls go, wait and are turned away
  The decisions of the gateway, driven by the load patterns that they answer.

  Scenario Outline: Placement: <case>
    Given endpoints "<endpoints>"
    When a call of data centre "a" is placed
    Then it goes to "<chosen>"

    # name@data centre:calls/slots, with marks: L leaving, E ejected, F full, O old weights
    Examples:
      | case                                      | endpoints                     | chosen |
      | least calls                               | x@a:5/16 y@a:3/16             | y      |
      | own data centre when loads are near       | x@b:2/16 y@a:6/16             | y      |
      | another one when the own is much fuller   | x@b:1/16 y@a:14/16            | x      |
      | calls of other entry instances count      | x@a:1+9/16 y@a:6/16           | y      |
      | no leaving endpoint                       | x@a:0/16L y@a:9/16            | y      |
      | no ejected endpoint                       | x@a:0/16E y@a:9/16            | y      |
      | none that has just refused                | x@a:0/16F y@a:9/16            | y      |
      | none with forbidden weights               | x@a:0/16O y@a:9/16            | y      |
      | none when all are full                    | x@a:16/16 y@a:16/16           | none   |

  Scenario: A burst at twice the capacity is served on time or refused at once
    # 2 s at 40 calls a second, 20 a second can start; objective 0.4 s, deadline 2 s.
    Given the arrivals of a burst of 80 calls at 40 a second
    When 20 calls can start in each second
    Then every call that starts does so at its latest time or before
    And no refused call had waited longer than its latest time
    And at least 36 calls start within their objective

  Scenario: Calls that can still be on time go before those that cannot
    Given calls that wait: late 0, on time 1, urgent late 0, urgent on time 1
    Then they start in the order "urgent on time, on time, urgent late, late"

  Scenario: An overloaded room refuses a call at once with a time to come back
    Given a waiting room with 30 calls, 10 of them started in the last second
    When a call arrives that may wait 1.0 s
    Then it is refused as "overload"
    And it may come back after 0.1 to 1.5 s

  Scenario: A client with little time left is told to come back within it
    Then a client with 0.6 s left is told to come back after at most 0.2 s

  Scenario Outline: Repeats of all entry instances stay within the common budget: <case>
    Given 6 entry instances that share a budget of 0.2 and 100 in 10 s
    When each of them gets <requests> requests in 10 s and repeats whatever it may
    Then at most <most> repeats were sent

    # most: 0.2 x the requests of all + 100
    Examples:
      | case       | requests | most |
      | no traffic | 0        | 100  |
      | little     | 20       | 124  |
      | much       | 200      | 340  |

  Scenario Outline: An endpoint that fails calls: <case>
    Given an endpoint whose calls end "<ends>"
    Then it is ejected: <ejected>

    # g good, f failed, u unreachable
    Examples:
      | case                       | ends       | ejected |
      | one failure                | gggf       | no      |
      | three in a row             | gggfff     | yes     |
      | four of ten                | gfgfggfgfg | no      |
      | it takes no connection     | u          | yes     |
      | a trial call after it fails again | fff.f | yes    |
      | a trial call after it succeeds    | fff.g | no     |

  Scenario: Endpoints that lapse while the store is away are kept until it had time to list them
    Given a list with endpoints x and y and a store that comes back
    When the list names only x
    Then y is still used
    When 3 s pass and the list still names only x
    Then y is gone

  @always_1
  Scenario Outline: Weights that a call may run on, <after> s after a version was named
    Given weights that are due 8 s after version 2 was named, and version 1 before
    Then after <after> s calls need version <least> at least

    Examples:
      | after | least |
      | 1.0   | 0     |
      | 6.7   | 0     |
      | 6.9   | 2     |
      | 60.0  | 2     |

  Scenario Outline: A call that waits has to start <before> s before its objective
    Given answers that take <answers> s
    Then a call with an objective of 0.4 s has to start <before> s before it

    Examples:
      | answers       | before |
      | no            | 0.0    |
      | 0.1, 0.1      | 0.1    |
      | 0.9, 0.9, 0.9 | 0.2    |

  Scenario: On a day with more calls than the engines can serve calls start in time
    Given the replay of a day of the first site on which most engines are down
    When it is played with calls that start just before their objective
    And it is played with calls that start earlier by the time of an answer
    Then at least 1.1 times as much worth is served
    And more than with a random choice, round robin and least connections
    And no more than the bound that the steps of the engines allow
