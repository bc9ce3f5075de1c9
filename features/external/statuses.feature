Feature: Statuses that no server may send, to the clients of the agent path
  A response has a status line of HTTP/1.0 or HTTP/1.1 and a final status from 200 to 599.
  Any other one is none: the call is lost at once and may have run.

  @always_2
  Scenario Outline: The status line "<line>" is no response
    Given a server that answers as a script says
    Then the status line "<line>" makes every external call lost at once

    Examples: statuses below 100
      | line             |
      | HTTP/1.1 000 X   |
      | HTTP/1.1 000     |
      | HTTP/1.1 042 X   |
      | HTTP/1.1 099 X   |
      | HTTP/1.0 000 X   |

    Examples: interim statuses that cannot be one here
      | line                             |
      | HTTP/1.1 101 Switching Protocols |

    Examples: statuses above 599
      | line           |
      | HTTP/1.1 600 X |
      | HTTP/1.1 999 X |

    Examples: statuses that are not three digits
      | line                  |
      | HTTP/1.1 0 X          |
      | HTTP/1.1 20 X         |
      | HTTP/1.1 2000 X       |
      | HTTP/1.1 00200 X      |
      | HTTP/1.1 0429 X       |
      | HTTP/1.1 0503 X       |
      | HTTP/1.1 0100 X       |
      | HTTP/1.1 4294967496 X |
      | HTTP/1.1 abc X        |
      | HTTP/1.1 0x200 X      |
      | HTTP/1.1 2_00 X       |
      | HTTP/1.1 +200 X       |
      | HTTP/1.1 +503 X       |
      | HTTP/1.1 -20 X        |
      | HTTP/1.1 20 0 X       |
      | HTTP/1.1  200 X       |
      | HTTP/1.1 TAB200 X     |
      | HTTP/1.1 200TABX      |
      | HTTP/1.1 200TAB X     |
      | HTTP/1.1 X            |
      | HTTP/1.1              |

    Examples: versions
      | line             |
      | 200 OK           |
      | HTTP 200 OK      |
      | HTTP/1 200 OK    |
      | HTTP/0.9 200 OK  |
      | HTTP/1.2 200 OK  |
      | HTTP/01.1 200 OK |
      | HTTP/2.0 200 OK  |
      | http/1.1 200 OK  |
      | RTSP/1.0 200 OK  |
      | x/1.1 200 OK     |
      | xHTTP/1.1 200 OK |

  @always_2
  Scenario Outline: A response <status> with a body and <framing> before another one
    Given a server that answers as a script says
    Then a <status> with a body and <framing> before a response makes calls lost at once

    Examples: interim statuses
      | status | framing  |
      | 000    | a length |
      | 100    | a length |
      | 100    | chunks   |
      | 103    | a length |
      | 199    | a length |

  @always_2
  Scenario Outline: Interim responses <status> before a response take nothing from it
    Given a server that answers as a script says
    Then a response behind one with <status> is the whole one for every external call

    Examples: statuses
      | status |
      | 100    |
      | 102    |
      | 103    |
      | 199    |

  @always_2
  Scenario Outline: A response <status> with <framing>, and its connection
    Given a server that answers as a script says
    Then two reads answered by <status> with <framing> take <count> connections

    Examples: responses
      | status | framing  | count |
      | 200    | a length | 1     |
      | 204    | no body  | 1     |
      | 204    | a length | 2     |
      | 204    | chunks   | 2     |
      | 304    | no body  | 1     |
      | 304    | a length | 2     |
      | 304    | chunks   | 2     |

  @always_2
  Scenario Outline: A <kind> answered with "<line>", asked for with <caller>
    Given an engine or service, its agent and an entry instance with an HTTP front
    When a <kind> asked for with <caller> is answered with the status line "<line>"
    Then the caller is told at once that it may have run

    Examples: callers
      | kind         | caller        | line            |
      | service call | HTTP/1.1      | HTTP/1.1 000 X  |
      | service call | HTTP/1.1      | HTTP/1.1 101 X  |
      | service call | HTTP/1.1      | HTTP/1.1 0503 X |
      | service call | HTTP/1.1      | HTTP/1.1 -20 X  |
      | service call | HTTP/1.1      | HTTP/1.1 600 X  |
      | service call | HTTP/1.1      | HTTP/2.0 200 X  |
      | service call | HTTP/1.1 POST | HTTP/1.1 000 X  |
      | service call | HTTP/1.1 POST | HTTP/1.1 101 X  |
      | service call | HTTP/1.1 POST | HTTP/1.1 0503 X |
      | service call | HTTP/1.1 POST | HTTP/1.1 -20 X  |
      | service call | HTTP/1.1 POST | HTTP/1.1 600 X  |
      | service call | HTTP/1.1 POST | HTTP/2.0 200 X  |
      | completion   | HTTP/1.1      | HTTP/1.1 000 X  |
      | completion   | HTTP/1.1      | HTTP/1.1 0503 X |
      | completion   | HTTP/1.1      | HTTP/2.0 200 X  |
      | stream       | HTTP/1.1      | HTTP/1.1 000 X  |
      | stream       | HTTP/1.1      | HTTP/1.1 0503 X |
      | stream       | HTTP/1.1      | HTTP/2.0 200 X  |
