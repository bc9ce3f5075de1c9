Feature: Endpoints that read a long body late
  A sound endpoint may not read for a second or so. Its host takes no more bytes then, and
  the call goes on with it.

  @always_2
  Scenario Outline: A call with <size> bytes of body at an endpoint that pauses is broken off
    Given a real endpoint that reads nothing for <pause> s and then answers
    When it is sent a call with <size> bytes of body that may be repeated
    Then the call's answer is whole

    Examples: bodies
      | size    | pause |
      | 1000    | 1.5   |
      | 200000  | 1.5   |
      | 2000000 | 1.5   |

  @always_2
  Scenario: A call is broken off behind a long one that was answered before it was read
    Given a real endpoint that answers at once and reads on after 1.5 s
    When it is sent a call with 2000000 bytes and a short one behind it
    Then the short call's answer is whole
