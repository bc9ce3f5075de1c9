Feature: Requests of callers whose body never ends
  The HTTP port of a process keeps the start of a body. One without end, at once or byte
  by byte, takes neither the memory of the process nor a connection for good.

  Scenario Outline: A request whose body with <framing> <course> is cut off
    Given the HTTP port of a process with a time limit of 0.3 s for bodies
    When a caller sends a body with <framing> that <course>
    Then it is cut off within 3 s after at most 24 MB, of which 1 MB was kept

    Examples: bodies
      | framing  | course     |
      | a length | never ends |
      | chunks   | never ends |
      | a length | trickles   |
      | chunks   | trickles   |

  Scenario Outline: A request whose head <course> is cut off
    Given the HTTP port of a process with a time limit of 0.3 s for heads
    When a caller sends a head that <course>
    Then it is cut off within 3 s after at most 24 MB

    Examples: heads
      | course     |
      | never ends |
      | trickles   |

  Scenario: A connection that is kept open between requests is not cut off
    Given the HTTP port of a process with a time limit of 0.3 s for heads
    When a caller sends 3 requests, one each 0.4 s, on a connection
    Then each of the 3 requests has an answer

  Scenario: A body that is too long but ends gets an answer
    Given the HTTP port of a process with a time limit of 5 s for bodies
    When a caller sends a body of 2 MB
    Then the process has its first 1 MB and the caller an answer
