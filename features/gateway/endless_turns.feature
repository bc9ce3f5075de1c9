Feature: Servers that write without end do not keep others waiting
  Bytes that bring a stream no further are bounded, and so is what one connection may take
  of a turn of the event loop, whatever its bytes are.

  # Blank lines from two servers kept an entry from answering other clients for seconds.
  Scenario Outline: A stream of <filler> without end takes turns of the event loop for long
    Given a gateway with 1 endpoints and a route that streams once
    When <filler> come without end
    Then the stream is given up after at most 64 KB
    And no turn takes more than 50000 function calls

    Examples:
      | filler                       |
      | blank lines                  |
      | blank lines in small chunks  |
      | comments                     |
      | comments and blank lines     |
      | events with the same id      |

  Scenario Outline: One turn takes too long for an answer with <part> without end
    Given a gateway with 1 endpoints and a route that <kind>
    When <part> come without end
    Then no turn takes more than 50000 function calls

    Examples:
      | part                         | kind           |
      | new events                   | streams once   |
      | events without id            | streams once   |
      | bytes in small chunks        | runs once only |
      | interim heads                | runs once only |
      | heads of other calls         | runs once only |
      | header lines                 | runs once only |

  Scenario: A stream whose comments and events alternate passes whole
    Given a gateway with 1 endpoints and a route that streams once
    When 40 KB of comments come before each of 5 events
    Then the client has all 5 events

  # Events that are new do not end an attempt: a flood of them is read slowly.
  Scenario Outline: A connection that brings <part> without end is read as fast as it can write
    Given a gateway with 1 endpoints and a route that <kind>
    When <part> come for 3 s as fast as they are read
    Then no more is read than the pace and one turn allow

    Examples:
      | part                  | kind           |
      | new events            | streams once   |
      | events without id     | streams once   |
      | bytes in small chunks | runs once only |

  Scenario: A stream with 300 events a second is slowed down
    Given a gateway with 1 endpoints and a route that streams once
    When 300 new events come each second for 3 s
    Then reading was never paused
