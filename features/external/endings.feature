Feature: How answers to the clients of engines, services and stores end
  A part of an answer is never taken for the whole, a whole one without length and
  chunks is not taken for broken, and one without end does not fill the process.

  @always_2
  Scenario Outline: The answer to a <call> with <framing> that ends by <end> is <outcome>
    Given a server that answers as a script says
    When the answer to the external call <call>, with <framing>, ends by <end>
    Then the external call is <outcome>

    Examples: ends
      | call         | framing  | end          | outcome  |
      | service call | a length | a close      | answered |
      | service call | chunks   | a close      | answered |
      | service call | neither  | a close      | answered |
      | service call | neither  | a reset      | lost     |
      | service call | neither  | a time limit | lost     |
      | service call | a length | a time limit | lost     |
      | completion   | neither  | a close      | answered |
      | completion   | neither  | a reset      | lost     |
      | completion   | chunks   | a time limit | lost     |
      | stream       | neither  | a close      | answered |
      | stream       | a length | a close      | answered |
      | load weights | neither  | a close      | answered |
      | load weights | neither  | a reset      | lost     |
      | engine state | neither  | a close      | answered |
      | engine load  | neither  | a close      | answered |
      | get chunk    | neither  | a close      | answered |
      | get chunk    | neither  | a reset      | lost     |
      | get object   | neither  | a close      | answered |
      | get object   | neither  | a reset      | lost     |

  @always_2
  Scenario Outline: No part of the answer to a <call> passes for the whole
    Given a server that answers as a script says
    Then an answer to the external call <call>, cut at any byte, fails or is whole

    Examples: calls
      | call         |
      | service call |
      | completion   |
      | stream       |
      | get object   |

  @always_2
  Scenario: The request command reports a stream that just stops as a failure
    Given a server that answers as a script says
    Then the request command takes no part of a stream for the whole

  Scenario Outline: An answer to a <call> whose <part> <course> is given up
    When the external call <call> is answered by a <part> that <course>
    Then the endless answer is given up within the limits of bytes, time and memory

    Examples: parts
      | call         | part               | course     |
      | service call | status line        | never ends |
      | service call | header value       | never ends |
      | service call | headers            | never ends |
      | service call | interim answers    | never ends |
      | service call | chunk extension    | never ends |
      | service call | trailers           | never ends |
      | service call | body with a length | never ends |
      | service call | body in chunks     | never ends |
      | service call | body with neither  | never ends |
      | completion   | body with neither  | never ends |
      | stream       | headers            | never ends |
      | stream       | error body         | never ends |
      | stream       | event              | never ends |
      | stream       | comment            | never ends |
      | engine state | body with neither  | never ends |
      | get chunk    | body with a length | never ends |
      | service call | status line        | trickles   |
      | service call | headers            | trickles   |
      | service call | interim answers    | trickles   |
      | service call | body with neither  | trickles   |
      | stream       | error body         | trickles   |
      | stream       | event              | trickles   |
      | get chunk    | body in chunks     | trickles   |
