Feature: How the connections of clients are closed

  @always_2
  Scenario: A connection is closed behind an answer that is longer than the buffers
    Given a gateway on a real port
    When a caller with 16 KB of buffer reads a long answer late
    Then it gets all of it and the end of the connection
