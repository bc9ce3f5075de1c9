Feature: Every request that was read whole is answered before its connection closes
  A client may send requests ahead of their answers. What ends the connection, such as a
  stop or an invalid request, takes effect behind the whole requests before it.

  @always_2
  Scenario Outline: Two requests and <later> behind them in <reads>
    Given a gateway with 2 endpoints and a route that may repeat
    When a caller pipelines 2 requests and <later> in <reads>
    Then both are answered, then <status>, and the connection is closed

    Examples: invalid requests
      | later                    | reads    | status |
      | what is not HTTP         | one read | 400    |
      | what is not HTTP         | 3 reads  | 400    |
      | headers over the limit   | one read | 431    |
      | headers over the limit   | 3 reads  | 431    |
      | headers without end      | 3 reads  | 431    |
      | a body over the limit    | one read | 413    |
      | a body over the limit    | 3 reads  | 413    |
      | two hosts                | one read | 400    |
      | two hosts                | 3 reads  | 400    |
      | a body that does not end | one read | 408    |
      | a body that does not end | 3 reads  | 408    |

  @always_2
  Scenario Outline: Two requests in <reads> and a stop during the first
    Given a gateway with 2 endpoints and a route that <kind>
    When a caller pipelines 2 requests and a stop in <reads>
    Then both are answered and the connection is closed

    Examples: reads
      | kind           | reads    |
      | may repeat     | one read |
      | runs once only | 2 reads  |

  @always_2
  Scenario Outline: A stream and a request behind it that <kind>, and a stop
    Given a gateway with 2 endpoints and a route that <kind>
    When a process stops while a stream is sent and a second request is read
    Then both streams are whole and the connection is closed

    Examples: kinds
      | kind                |
      | streams once        |
      | streams and resumes |

  @always_2
  Scenario: More requests than may be queued are read later
    Given a gateway with 2 endpoints and a route that may repeat
    When a caller pipelines 40 requests in one read
    Then all 40 are answered in order

  Scenario: A client that never reads an answer is not read any more
    Given a gateway with 1 endpoints and a route that may repeat
    When a client goes on sending requests that no endpoint answers
    Then at most 9 requests were read ahead of their answers

  Scenario Outline: No request is read behind <last>
    Given a gateway with 2 endpoints and a route that may repeat
    When a caller pipelines a request behind <last>
    Then it is answered, the other one reaches no endpoint, and the end is closed

    Examples: last requests
      | last                       |
      | a request that closes      |
      | a request of HTTP/1.0      |
      | a kept request of HTTP/1.0 |

  @always_2
  Scenario Outline: A connection is not closed by <closing> before its bytes are read
    Given a gateway with 2 endpoints and a route that may repeat
    When <closing> comes while bytes of the client wait to be read
    Then its request is answered

    Examples: closings
      | closing           |
      | the idle time-out |
      | a planned stop    |
