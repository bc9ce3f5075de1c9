Feature: How the bytes of an answer end
  An answer may have a length, chunks or neither, and its connection may be closed,
  reset or silent at every byte. A part of an answer is never passed off as the whole.

  Scenario Outline: The log tells an answer with <framing> that ends by <end> <share>
    Given a gateway that logs, with 1 endpoints and a route that <kind>
    When an answer with <framing> arrives <share> and ends by <end>
    Then the log names the framing <name>, the end <logged> and <partial> bytes of an event
    And a counter of answers has the framing <name> and the end <logged>

    Examples: ends
      | kind           | framing  | share   | end          | name   | logged    | partial |
      | runs once only | a length | whole   | a close      | length | complete  | 0       |
      | runs once only | a length | in part | a close      | length | closed    | 0       |
      | runs once only | a length | in part | a reset      | length | reset     | 0       |
      | runs once only | a length | in part | a time limit | length | cancelled | 0       |
      | runs once only | chunks   | whole   | a close      | chunks | complete  | 0       |
      | runs once only | chunks   | in part | a close      | chunks | closed    | 0       |
      | runs once only | neither  | whole   | a close      | close  | closed    | 0       |
      | runs once only | neither  | in part | a reset      | close  | reset     | 0       |
      | streams once   | a length | in part | a close      | length | closed    | 17      |
      | streams once   | chunks   | whole   | a close      | chunks | complete  | 0       |
      | streams once   | chunks   | in part | a reset      | chunks | reset     | 17      |
      | streams once   | neither  | whole   | a close      | close  | closed    | 0       |
      | streams once   | neither  | in part | a close      | close  | closed    | 17      |
      | streams once   | neither  | in part | a reset      | close  | reset     | 17      |
      | streams once   | neither  | in part | a time limit | close  | cancelled | 17      |

  @always_2
  Scenario Outline: A stream that ends inside an event by <end>, with <framing>, goes on
    Given a gateway with 2 endpoints and a route that streams and resumes
    When an answer with <framing> ends by <end> in the middle of event 3
    And the other endpoint goes on from event 3
    Then the caller gets the events 1 to 4, each once, and a complete end
    And the second send names event 2 as the last one

    Examples: ends
      | framing  | end         |
      | a length | a close     |
      | a length | a reset     |
      | a length | its framing |
      | chunks   | a close     |
      | chunks   | a reset     |
      | chunks   | its framing |
      | neither  | a close     |
      | neither  | a reset     |

  @always_2
  Scenario Outline: A stream ending inside an event by <end>, with <framing>, is broken off
    Given a gateway with 2 endpoints and a route that streams once
    When an answer with <framing> ends by <end> in the middle of event 3
    Then the caller's connection is broken off

    Examples: ends
      | framing  | end          |
      | a length | a close      |
      | a length | its framing  |
      | chunks   | a reset      |
      | chunks   | its framing  |
      | neither  | a close      |
      | neither  | a reset      |
      | neither  | a time limit |

  @always_2
  Scenario Outline: A stream without length and chunks is not whole before its first event
    Given a gateway with 1 endpoints and a route that <kind>
    When an answer with neither ends by a close before event 1
    Then the caller gets 502 and nothing of a stream

    Examples: routes
      | kind                |
      | streams once        |
      | streams and resumes |

  @always_2
  Scenario Outline: A resumed stream with <framing> must bring the rest of a broken event
    Given a gateway with 2 endpoints and a route that streams and resumes
    When an answer with chunks ends by a reset in the middle of event 3
    And the other endpoint answers event 3 with no event and <framing>
    Then the caller's connection is broken off

    Examples: framings
      | framing  |
      | a length |
      | chunks   |
      | neither  |

  @always_2
  Scenario: A stream is whole for its caller only where its bytes may end
    Then a stream cut at any byte is whole for its caller only where it may be

  @always_2
  Scenario: An answer is whole for its caller only where its bytes may end
    Then an answer cut at any byte is whole for its caller only where it may be

  Scenario Outline: A HEAD call with <framing> ends with the headers
    Given a gateway with 1 endpoints and a route that <kind>
    When a caller sends a HEAD call and the endpoint declares <framing>
    Then the caller gets 200 with headers only

    Examples: framings
      | kind                | framing  |
      | may repeat          | a length |
      | may repeat          | chunks   |
      | may repeat          | neither  |
      | streams and resumes | a length |
      | streams and resumes | chunks   |

  Scenario: The refusal of a HEAD call has no body that passes for the next answer
    Given a gateway with 1 endpoints and a route that may repeat
    When a caller sends a HEAD call for a path without a route
    Then the caller gets 404 with headers only

  @always_2
  Scenario Outline: A stream that ends by <end> for a caller of HTTP/1.0 is not in chunks
    Given a gateway with 1 endpoints and a route that streams once
    When a caller of HTTP/1.0 sends a call and its stream ends by <end>
    Then the caller's stream has no framing and ends by a <seen>

    Examples: ends
      | end         | seen  |
      | its framing | close |
      | a close     | reset |
      | a reset     | reset |

  Scenario Outline: Events whose lines end by <line_end> are forwarded as they arrive
    Given a gateway with 1 endpoints and a route that streams once
    When an endpoint sends 2 events with the line end <line_end>, cut into <parts>
    Then the caller has both events before the stream ends
    And it is whole once the stream has ended after <last>

    Examples: line ends
      | line_end | parts        | last                |
      | LF       | one read     | the last event      |
      | LF       | single bytes | a comment           |
      | CRLF     | one read     | the last event      |
      | CRLF     | single bytes | an empty line       |
      | CRLF     | single bytes | a comment           |
      | CR       | one read     | the last event      |
      | CR       | single bytes | the last event      |

  @always_2
  Scenario Outline: A stream of which only <bytes> arrive goes on at another endpoint
    Given a gateway with 2 endpoints and a route that streams and resumes
    When an endpoint has sent event 2 and <bytes> arrive for 1.2 s
    Then the endpoint's connection is still open
    When the other endpoint goes on from event 3
    Then the caller gets the events 1 to 4, each once, and a complete end
    And the endpoint's connection is broken off

    Examples: bytes
      | bytes                   |
      | single bytes of event 3 |
      | comments                |
      | events 1 and 2 again    |

  Scenario Outline: A <ending> after <count> bytes with <framing> is told on real sockets
    Given a server that answers as a script says
    When <count> bytes of a body with <framing> are followed by a <ending>
    Then the gateway's connection has all of them and reports <termination>

    Examples: ends
      | framing  | count | ending | termination |
      | a length | 10    | close  | closed      |
      | a length | 10    | reset  | reset       |
      | chunks   | 5     | close  | closed      |
      | chunks   | 5     | reset  | reset       |
      | neither  | 10    | close  | closed      |
      | neither  | 10    | reset  | reset       |
      | neither  | 90000 | close  | closed      |
      | neither  | 90000 | reset  | reset       |

  Scenario Outline: A request with <framing> that is cut at any byte reaches no endpoint
    Then a request with <framing> and a body, cut at any byte, reaches no endpoint

    Examples: framings
      | framing  |
      | a length |
      | chunks   |

  Scenario Outline: A document on a streaming route, with <framing>, is no broken stream
    Given a gateway with 1 endpoints and a route that streams once
    When a caller sends a call and gets a JSON document with <framing>
    Then it has the whole document

    Examples: framings
      | framing  |
      | a length |
      | chunks   |
      | neither  |

  @always_2
  Scenario Outline: A stream whose rest is answered by <answer> is broken off
    Given a gateway with 2 endpoints and a route that streams and resumes
    When an answer with chunks ends by a reset in the middle of event 3
    And the other endpoint answers event 3 by <answer>
    Then the caller's connection is broken off
    And the caller has no second answer

    Examples: answers
      | answer          |
      | status 404      |
      | a JSON document |

  @always_2
  Scenario Outline: A stream with <framing> is whole after it was cut at any byte and resumed
    Then a stream with <framing>, cut at any byte and resumed, is whole for its caller

    Examples: framings
      | framing  |
      | a length |
      | chunks   |
      | neither  |
