Feature: No endpoint works for a client that has left
  The end of a connection may wait in the socket behind the request, while the event loop
  runs late; it has to be found before each send.

  Scenario Outline: A client that <left> before its call is <sent>
    Given a gateway with 2 endpoints and a route that <kind>
    When a caller <left> and its call is to be <sent>
    Then no endpoint is sent the call after that
    And the call has ended

    Examples:
      | left                     | sent                | kind                |
      | closes its connection    | sent on arrival     | may repeat          |
      | resets its connection    | sent on arrival     | runs once only      |
      | closes its connection    | sent after a wait   | may repeat          |
      | closes its connection    | sent after a dial   | runs once only      |
      | closes its connection    | sent a second time  | may repeat          |
      | resets its connection    | sent a second time  | streams and resumes |

  Scenario Outline: A client that <stays> is served
    Given a gateway with 2 endpoints and a route that may repeat
    When a caller <stays> and its call is to be sent on arrival
    Then the call is at an endpoint

    Examples:
      | stays                    |
      | stays connected          |
      | sends the next request   |

  Scenario Outline: A request with 2.0 s left that is read by an event loop that is <late> s late
    Given a gateway with 2 endpoints and a route that <kind>
    When the event loop runs <late> s late and a request has come meanwhile
    Then an endpoint is handed <left> s for it at most, in <sends> sends

    # The client's time began when it sent the request, not when that was read.
    Examples:
      | late | kind           | left | sends |
      | 0.0  | may repeat     | 2.0  | 1     |
      | 1.5  | may repeat     | 0.55 | 1     |
      | 1.5  | runs once only | 0.55 | 1     |
      | 2.5  | may repeat     | 0.0  | 0     |
      | 2.5  | runs once only | 0.0  | 0     |

  Scenario Outline: An endpoint that takes connections after calls that were <ending>
    Given a gateway with 2 endpoints and a route that may repeat
    When 3 calls to an endpoint end "<ending>" and a connection to it opens
    Then the endpoint is ejected for <ejected> s

    # Ejecting engines that are only slow sends their calls to the others, which then are
    # late too.
    Examples:
      | ending | ejected |
      | silent | 0       |
      | broken | 0       |
