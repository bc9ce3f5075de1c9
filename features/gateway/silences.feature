Feature: Sound endpoints that fall silent for a moment and go on
  A sound endpoint may be silent for a second or two. Its answer reaches the client whole,
  whatever changes meanwhile, unless another endpoint has delivered first.

  @always_2
  Scenario Outline: A call that <kind>, silent <moment> for <pause> s while <change>
    Given two endpoints and a route with 6 s that <kind>
    When a call's endpoint is silent <moment> for <pause> s while <change>
    Then its caller gets the whole answer, once
    And no call is left

    Examples: streams after an event
      | kind                | moment        | pause | change                              |
      | streams and resumes | after event 2 | 1.0   | nothing changes                     |
      | streams and resumes | after event 2 | 1.5   | nothing changes                     |
      | streams and resumes | after event 2 | 2.0   | nothing changes                     |
      | streams and resumes | after event 2 | 1.0   | the route is dropped                |
      | streams and resumes | after event 2 | 2.0   | the route is dropped                |
      | streams and resumes | after event 2 | 1.0   | the key is dropped                  |
      | streams and resumes | after event 2 | 1.5   | the route goes to another service   |
      | streams and resumes | after event 2 | 1.5   | the route no longer repeats         |
      | streams and resumes | after event 2 | 1.5   | the route's time-out is cut         |
      | streams and resumes | after event 2 | 1.5   | the configuration is said to be old |
      | streams and resumes | after event 2 | 1.5   | the other endpoint leaves           |
      | streams and resumes | after event 2 | 1.5   | the other endpoint is full          |
      | streams and resumes | after event 2 | 1.5   | the other endpoint takes no dial    |
      | streams and resumes | after event 2 | 1.5   | the other endpoint refuses          |
      | streams and resumes | after event 2 | 1.5   | the other endpoint fails            |
      | streams and resumes | after event 2 | 1.5   | the other endpoint breaks           |
      | streams and resumes | after event 2 | 1.0   | the other endpoint is silent too    |
      | streams and resumes | after event 2 | 2.0   | the other endpoint is silent too    |
      | streams and resumes | after event 2 | 1.5   | its own endpoint leaves             |
      | streams and resumes | after event 2 | 1.5   | the budget is used up               |
      | streams and resumes | after event 2 | 1.5   | the process is stopped              |
      | streams and resumes | in event 3    | 1.5   | the route is dropped                |
      | streams and resumes | in event 3    | 1.5   | the other endpoint is silent too    |
      | streams and resumes | before an id  | 1.5   | nothing changes                     |
      | streams once        | after event 2 | 2.0   | the route is dropped                |

    Examples: before the answer begins
      | kind                | moment          | pause | change                            |
      | streams and resumes | before its head | 1.0   | nothing changes                   |
      | streams and resumes | before its head | 1.5   | the route is dropped              |
      | streams and resumes | before its head | 2.0   | the key is dropped                |
      | streams and resumes | before its head | 1.5   | the other endpoint is silent too  |
      | streams and resumes | before its head | 1.5   | the other endpoint refuses        |
      | streams and resumes | after its head  | 1.5   | the route is dropped              |
      | may repeat          | before its head | 1.0   | nothing changes                   |
      | may repeat          | before its head | 1.5   | the route is dropped              |
      | may repeat          | before its head | 1.5   | the key is dropped                |
      | may repeat          | before its head | 1.5   | the route goes to another service |
      | may repeat          | before its head | 1.5   | the other endpoint leaves         |
      | may repeat          | before its head | 1.5   | the other endpoint takes no dial  |
      | may repeat          | before its head | 1.5   | the other endpoint fails          |
      | may repeat          | before its head | 1.5   | the other endpoint breaks         |
      | may repeat          | before its head | 2.0   | the other endpoint is silent too  |
      | may repeat          | in its body     | 1.5   | the route is dropped              |
      | may repeat          | before its head | 1.5   | the budget is used up             |
      | runs once only      | before its head | 2.0   | the route is dropped              |

  @always_2
  Scenario Outline: A mute endpoint's call that <kind> goes on at another one, <moment>
    Given two endpoints and a route with 6 s that <kind>
    When a call's endpoint is silent <moment> for ever and the other one answers
    Then its caller gets the whole answer, once
    And the silent endpoint's connection is broken off within <limit> s
    And one failure of the silent endpoint and none of the other was reported

    Examples: moments
      | kind                | moment          | limit |
      | streams and resumes | after event 2   | 1.0   |
      | streams and resumes | in event 3      | 1.0   |
      | streams and resumes | before its head | 0.45  |
      | may repeat          | before its head | 0.45  |

  Scenario Outline: An endpoint that goes on <first> is not blamed, and the other is told
    Given two endpoints and a route with 6 s that <kind>
    When a call's endpoint is silent <first> for 1.2 s while the other endpoint is silent too
    Then its caller gets the whole answer, once
    And the other endpoint's connection is broken off
    And no failure of an endpoint was reported

    Examples: moments
      | kind                | first           |
      | streams and resumes | after event 2   |
      | may repeat          | before its head |

  Scenario: A second endpoint that is not sent the call costs no retry
    Given two endpoints and a route with 6 s that streams and resumes
    When a call's endpoint is silent after event 2 for 1.5 s while the other endpoint takes no dial
    Then its caller gets the whole answer, once
    And no retry was taken from the budget

  @always_2
  Scenario Outline: A call on a route that <kind>, which may have run and waits, is not sent
    Given two endpoints and a route with 6 s that <kind>
    When a call waits to be sent again and its route no longer repeats
    Then it is not sent again, and its client gets <end>

    Examples: routes
      | kind                | end     |
      | may repeat          | 502     |
      | streams and resumes | a reset |

  Scenario: A call that waits to be sent again is sent when its route still repeats
    Given two endpoints and a route with 6 s that may repeat
    When a call waits to be sent again and its route has another time-out
    Then it is sent again

  Scenario Outline: One endpoint's head with another's events, after a comment <moment>
    Given two endpoints and a route with 6 s that streams and resumes
    When a silent endpoint sends head and comment <moment> and the other one answers
    Then the head and the events of its caller's answer come from one endpoint
    And no call is left

    Examples: moments
      | moment                        |
      | during the dial of the second |
      | once the second has the call  |
