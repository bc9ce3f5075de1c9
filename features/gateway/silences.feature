Feature: Sound endpoints that fall silent for a moment and go on
  A sound endpoint may be silent for a second or two. Its answer reaches the client whole,
  whatever changes meanwhile, unless another endpoint has delivered first.

  @always_2
  Scenario Outline: A call that <kind>, silent <moment> for <pause> s while <change>
    Given two endpoints and a route with 6 s that <kind>
    When a call's endpoint is silent <moment> for <pause> s while <change>
    Then its caller gets the whole answer, once
    And no call is left

    Examples: changes
      | kind                | moment          | pause | change                           |
      | streams and resumes | after event 2   | 1.0   | the route is dropped             |
      | streams and resumes | after event 2   | 1.0   | the key is dropped               |
      | streams and resumes | after event 2   | 2.0   | the other endpoint is silent too |
      | may repeat          | before its head | 1.5   | the route is dropped             |
