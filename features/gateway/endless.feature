Feature: Answers of endpoints that never end
  A server in trouble may send a head or a body without end, at once or byte by byte.
  What it can take is bounded in bytes, time and memory.

  Scenario Outline: An answer whose <part> never ends is given up
    Given a gateway with 1 endpoints and a route that <kind>
    When the <part> of an answer never ends
    Then its connection is broken off within the limits of bytes and memory
    And the caller gets no answer that looks whole

    Examples: parts
      | part                   | kind           |
      | status line            | runs once only |
      | header name            | runs once only |
      | header value           | runs once only |
      | headers                | streams once   |
      | interim answers        | runs once only |
      | answers of other calls | runs once only |
      | body of another call   | runs once only |
      | chunk size             | runs once only |
      | chunk extension        | runs once only |
      | trailers               | runs once only |
      | trailers               | streams once   |
      | body with a length     | runs once only |
      | body in chunks         | runs once only |
      | body with neither      | runs once only |
      | event                  | streams once   |
      | comment                | streams once   |

  Scenario Outline: An answer whose <part> trickles is given up at the call's deadline
    Given a gateway with 1 endpoints and a route that <kind>
    When the <part> of an answer trickles
    Then its connection is broken off when the call's time is over
    And the caller gets no answer that looks whole

    Examples: parts
      | part                   | kind           |
      | status line            | runs once only |
      | header value           | runs once only |
      | headers                | streams once   |
      | interim answers        | runs once only |
      | body of another call   | runs once only |
      | trailers               | runs once only |
      | body with a length     | runs once only |
      | body with neither      | runs once only |
      | event                  | streams once   |
      | comment                | streams once   |

  Scenario: Answers without end do not take the memory of the process together
    Given a gateway with 1 endpoints and a route that runs once only
    When 30 answers without end arrive at once, and one small answer
    Then they take at most 80 MB
    And the caller of the small answer has it whole

  Scenario Outline: A request whose <part> never ends <moment> is rejected
    Given a gateway with 1 endpoints and a route that may repeat
    When the <part> of a request never ends <moment>
    Then it takes at most 500 KB, and the client gets <status>

    Examples: parts
      | part               | moment                    | status |
      | target             | on a new connection       | 431    |
      | header value       | on a new connection       | 431    |
      | headers            | on a new connection       | 431    |
      | chunk extension    | on a new connection       | 400    |
      | trailers           | on a new connection       | 400    |
      | body with a length | on a new connection       | 413    |
      | body in chunks     | on a new connection       | 413    |
      | target             | behind a call in progress | 431    |
      | headers            | behind a call in progress | 431    |
      | chunk extension    | behind a call in progress | 400    |
      | trailers           | behind a call in progress | 400    |
      | body in chunks     | behind a call in progress | 413    |

  Scenario: Requests without end do not take the memory of the process together
    Given a gateway with 1 endpoints and a route that may repeat
    When 30 clients send bodies of 3 MB without their end
    Then they take at most 64 MB
    And those that are dropped get 503 and when to send again
