Feature: How answers of the store, the model server and the origin end
  A part of an answer, or one without end, fails the call that waits for it. It neither
  passes for the whole nor takes the memory of the process.

  Scenario Outline: No part of an answer to <call> passes for the whole
    Then an answer to the call <call>, cut at any byte, fails it or is whole

    Examples: calls
      | call          |
      | snapshot      |
      | changes       |
      | row written   |
      | instances     |
      | engine report |
      | piece staged  |
      | staged piece  |
      | order         |
      | manifest      |
      | piece         |

  Scenario Outline: An answer to <call> with <content> is lost and raises nothing else
    When the answer to the call <call> has <content>
    Then the call fails as lost

    Examples: contents
      | call          | content                |
      | snapshot      | deeply nested JSON     |
      | snapshot      | nested JSON in a field |
      | changes       | fields of other types  |
      | engine report | deeply nested JSON     |
      | engine report | fields of other types  |
      | engine report | numbers without end    |
      | manifest      | deeply nested JSON     |
      | manifest      | fields of other types  |
      | manifest      | numbers without end    |

  Scenario Outline: An answer to <call> whose <part> never ends is given up
    When the <part> of an answer to the call <call> never ends
    Then its connection is broken off within the limits of bytes and memory
    And the call has failed as lost and its connection is broken off

    Examples: parts
      | call          | part               |
      | snapshot      | status line        |
      | snapshot      | headers            |
      | snapshot      | body with neither  |
      | changes       | body in chunks     |
      | row written   | body with a length |
      | instances     | trailers           |
      | engine report | interim answers    |
      | engine report | body with neither  |
      | staged piece  | body with a length |
      | order         | body in chunks     |
      | manifest      | header value       |
      | manifest      | body with neither  |
      | piece         | chunk extension    |
      | piece         | body with neither  |

  Scenario Outline: An answer to <call> whose <part> trickles is given up in time
    When the <part> of an answer to the call <call> trickles
    Then the call has failed as lost and its connection is broken off

    Examples: parts
      | call          | part               |
      | snapshot      | headers            |
      | changes       | body with neither  |
      | engine report | body with a length |
      | staged piece  | body in chunks     |
      | order         | status line        |
      | manifest      | body with neither  |
      | piece         | trailers           |

  Scenario: Answers of the store without end do not take the memory of the process
    When 8 answers of the store without end arrive at once
    Then they take at most 64 MB
