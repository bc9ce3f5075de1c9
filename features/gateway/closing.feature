Feature: An answer is not destroyed by the close of its connection
  The kernel resets a connection that is closed while bytes of the peer are unread, and
  the peer may lose the answer. So connections are closed in stages (RFC 9112, 9.6).

  @always_2
  Scenario Outline: The answer to <kind> arrives although the client sends on
    Given a gateway on a real port
    When a caller goes on sending behind <kind> after the answer has ended
    Then it has the whole answer <status>, and its bytes meet no reset

    Examples: requests that end their connection
      | kind                   | status |
      | a body over the limit  | 413    |
      | headers over the limit | 431    |
      | what is not HTTP       | 400    |
      | a request that closes  | 404    |
      | a request of HTTP/1.0  | 404    |

  Scenario: A connection is closed behind an answer that is longer than the buffers
    Given a gateway on a real port
    When a caller with 16 KB of buffer reads a long answer late
    Then it gets all of it and the end of the connection

  Scenario: A client that does not close its side is not waited for
    Given a gateway with 1 endpoints and a route that may repeat
    When a client's request is answered and its connection is to be closed
    Then only the sending side is closed, and the rest after 1.0 s

  Scenario: The number of connections that wait for the client's close is bounded
    Given a gateway with 1 endpoints and a route that may repeat
    When 260 clients are refused and none closes its connection
    Then the first 256 are closed in stages and the others at once
