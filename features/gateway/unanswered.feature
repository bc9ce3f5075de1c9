Feature: Requests that end with their connection are logged
  A request may wait behind another one on its connection. When the connection ends, the
  log tells who ended it, so that a lost request is told from a client that left.

  Scenario Outline: A connection with a queued request ends because <end>
    Given a gateway that logs, with 1 endpoints and a route that <kind>
    When a caller sends two requests at once and <end>
    Then the log names the second request as unanswered, ended by <cause>

    Examples: ends
      | kind         | end                            | cause      |
      | may repeat   | the caller closes              | client_left |
      | may repeat   | the caller resets              | client_left |
      | streams once | the first one's stream breaks  | broken_off |
