Feature: A reset does not pass for the end of an answer
  An answer with neither a length nor chunks ends with its connection. One that is reset
  on the way is not complete.

  # One in some 200 resets came while the event loop polled, which reported a clean close;
  # half of an answer was passed on as whole.
  @always_2
  Scenario Outline: An answer on <way> whose connection <ends> counts as <outcome>
    Given a server on a real port that answers without a length
    When a call on <way> has half of an answer, and the connection <ends> unread
    Then that answer counts as <outcome>

    Examples:
      | way            | ends      | outcome  |
      | the gateway    | is reset  | lost     |
      | the gateway    | is closed | complete |
      | the agent path | is reset  | lost     |
      | the agent path | is closed | complete |
