Feature: Where calls go and which are turned away when there is too little room
  Engines share their machines with others, and their speed changes several times a
  second. The decisions of the gateway replay bursts on such engines without a network.

  Scenario Outline: Full engines and late answers on engines whose speed changes, seed <seed>
    Given the replay of a burst on uneven engines, seed <seed>
    When it is played with and without the load that engines report
    Then fewer calls are late, and fewer are turned away by full engines
    And more worth is served with the reports than without them

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Predicted time to the first event: <case>
    Given engines that read 30000 tokens a second in steps of 8 ms, 5 steps a pass
    When a prompt of <prompt> tokens goes to one with <calls> of 12 calls, <unread> tokens to read and pace <pace>
    Then its first event is predicted after <low> to <high> s

    # (reading + a pass of 5 steps of 8 ms for each 2048 tokens) x pace
    Examples:
      | case                      | prompt | calls | unread | pace | low   | high  |
      | an idle engine            | 1500   | 0     | 0      | 1.0  | 0.089 | 0.091 |
      | a slow one                | 1500   | 0     | 0      | 2.0  | 0.179 | 0.181 |
      | prompts ahead, in 3 parts | 1500   | 3     | 3000   | 1.0  | 0.269 | 0.271 |
      | a full one waits for room | 1500   | 12    | 0      | 1.0  | 0.160 | 0.600 |

  Scenario: An old report of the pace gives way to the average
    Given an endpoint that reported the paces 1.0, 1.0, 1.0 and 3.0
    Then its pace is near 3.0 at once and below 1.7 after 2 s
    And a report without a pace does not make it 3.0 again after 2 s

  Scenario: A report that an endpoint is full expires
    Given an endpoint with 12 slots that reported 12 running calls
    Then it has no free slot at once and one after 1 s

  Scenario Outline: Reports of load: <value>
    Then the load report "<value>" is read as <read>

    Examples:
      | value         | read              |
      | 3,0,8         | 3 0 8 without pace |
      | 3, 1, 8, 150  | 3 1 8 pace 1.5    |
      | 3,0           | malformed         |
      | 3,0,8,x       | malformed         |
      | 3,0,8,-1      | malformed         |
      | 3,0,8,0       | malformed         |
      | nan,0,8,100   | malformed         |
  Scenario: More urgent calls go first and displace less urgent ones
    Given a full waiting room with calls of priority 2
    When a call of priority 0 arrives there
    Then a call of priority 2 is turned away in its place
    And the call of priority 0 starts next

  Scenario: A call of the same priority displaces nothing
    Given a full waiting room with calls of priority 2
    When a call of priority 2 arrives there
    Then it is refused as "queue_full"

  Scenario: Long prompts are passed over and still served
    Given calls with short prompts and half as many with long ones, more than can be served
    When they are replayed for 60 s by the order of arrival and by the work of the calls
    Then more calls start in time by the work
    And long prompts start at least half as often as all

  Scenario: An endpoint that has not reported is compared by the same measure
    Given an endpoint that reported the paces 1.0 and 1.0
    Then one with 1 calls that has not reported costs a generation more

  Scenario Outline: What a client states of its work counts within a range: <stated>
    Given engines whose usual prompt has 900 tokens
    Then a call that states <stated> tokens counts as <counted>

    Examples:
      | stated     | counted |
      | no         | 900     |
      | 1          | 225     |
      | 1300       | 1300    |
      | 1000000000 | 18000   |

  Scenario: A call that would wait beyond its limit is refused at once, the others wait
    Given calls of priority 1 that can start at 10 a second, and 60 that wait
    When the room is checked
    Then the last ones are refused
    And those that stay are expected to start within their limit
