Feature: Statuses that no server may send
  An answer has a status line of HTTP/1.0 or HTTP/1.1 and a final status from 200 to 599.
  Any other one is no answer: it ends its attempt at once, the call may have run, the
  connection is not used again and the endpoint has failed.

  @always_2
  Scenario Outline: The status line "<line>" is no answer
    Then the status line "<line>" gives no caller an answer, in any framing

    Examples: statuses below 100
      | line             |
      | HTTP/1.1 000 X   |
      | HTTP/1.1 000     |
      | HTTP/1.1 001 X   |
      | HTTP/1.1 042 X   |
      | HTTP/1.1 099 X   |
      | HTTP/1.0 000 X   |

    Examples: interim statuses that cannot be one here
      | line                             |
      | HTTP/1.1 101 Switching Protocols |
      | HTTP/1.0 101 X                   |

    Examples: statuses above 599
      | line             |
      | HTTP/1.1 600 X   |
      | HTTP/1.1 601     |
      | HTTP/1.1 700 X   |
      | HTTP/1.1 999 X   |
      | HTTP/1.0 600 X   |

    Examples: statuses that are not three digits
      | line                  |
      | HTTP/1.1 0 X          |
      | HTTP/1.1 20 X         |
      | HTTP/1.1 2000 X       |
      | HTTP/1.1 00200 X      |
      | HTTP/1.1 0503 X       |
      | HTTP/1.1 65736 X      |
      | HTTP/1.1 4294967496 X |
      | HTTP/1.1 abc X        |
      | HTTP/1.1 2x0 X        |
      | HTTP/1.1 0x200 X      |
      | HTTP/1.1 2_00 X       |
      | HTTP/1.1 200. X       |
      | HTTP/1.1 +200 X       |
      | HTTP/1.1 +20 X        |
      | HTTP/1.1 -20 X        |
      | HTTP/1.1 20 0 X       |
      | HTTP/1.1  200 X       |
      | HTTP/1.1 TAB200 X     |
      | HTTP/1.1 200TABX      |
      | HTTP/1.1 X            |
      | HTTP/1.1              |

    Examples: versions
      | line              |
      | 200 OK            |
      | HTTP 200 OK       |
      | HTTP/ 200 OK      |
      | HTTP/1 200 OK     |
      | HTTP/2 200 OK     |
      | HTTP/0.9 200 OK   |
      | HTTP/1.2 200 OK   |
      | HTTP/1.10 200 OK  |
      | HTTP/2.0 200 OK   |
      | HTTP/9.9 200 OK   |
      | http/1.1 200 OK   |
      | HTTP/x.y 200 OK   |
      | RTSP/1.0 200 OK   |
      | ICE/1.0 200 OK    |
      | ICY 200 OK        |

  @always_2
  Scenario Outline: An answer <status> with a body and <framing> before another one
    Then an answer <status> with a body and <framing> before another one is none

    Examples: interim answers
      | status | framing  |
      | 000    | a length |
      | 000    | chunks   |
      | 050    | a length |
      | 100    | a length |
      | 100    | chunks   |
      | 102    | a length |
      | 103    | a length |
      | 103    | chunks   |
      | 199    | a length |
      | 199    | chunks   |

  @always_2
  Scenario Outline: A status <status> before a whole answer takes nothing from it
    Then a status <status> without a body, followed by an answer, gives a caller <got>

    Examples: statuses
      | status | got               |
      | 000    | no part of either |
      | 099    | no part of either |
      | 100    | the whole answer  |
      | 101    | no part of either |
      | 102    | the whole answer  |
      | 103    | the whole answer  |
      | 199    | the whole answer  |
      | 600    | no part of either |

  @always_2
  Scenario Outline: The status line "<line>" for the rest of a stream
    Given a gateway with 2 endpoints and a route that streams and resumes
    When an answer with chunks ends by a reset in the middle of event 3
    And the other endpoint sends the status line "<line>" for event 3
    Then the caller's connection is broken off
    And the caller has no second answer

    Examples: status lines
      | line            |
      | HTTP/1.1 000 X  |
      | HTTP/1.1 600 X  |
      | HTTP/2.0 200 OK |

  @always_2
  Scenario Outline: The status line "<line>" of the <place> of two attempts
    Then the status line "<line>" of the <place> of two attempts leaves the other one

    Examples: status lines
      | line            | place  |
      | HTTP/1.1 000 X  | first  |
      | HTTP/1.1 000 X  | second |
      | HTTP/1.1 600 X  | first  |
      | HTTP/1.1 600 X  | second |
      | HTTP/2.0 200 OK | first  |
      | HTTP/2.0 200 OK | second |

  @always_2
  Scenario Outline: A final status <status> with a body in <framing>
    Then an answer <status> with a body in <framing> reaches its caller <share>

    Examples: without a body, and the connection is closed
      | status | framing  | share      |
      | 204    | a length | without it |
      | 204    | chunks   | without it |
      | 304    | a length | without it |
      | 304    | chunks   | without it |

    Examples: with its body
      | status | framing  | share      |
      | 200    | a length | as it is   |
      | 205    | a length | as it is   |
      | 205    | chunks   | as it is   |
      | 299    | a length | as it is   |
      | 302    | chunks   | as it is   |
      | 404    | a length | as it is   |
      | 499    | a length | as it is   |
      | 500    | a length | as it is   |
      | 599    | a length | as it is   |
