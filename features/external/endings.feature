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
