Feature: How the bytes of an answer end
  An answer may have a length, chunks or neither, and its connection may be closed,
  reset or silent at every byte. A part of an answer is never passed off as the whole.

  Scenario Outline: The log tells an answer with <framing> that ends by <end> <share>
    Given a gateway that logs, with 1 endpoints and a route that <kind>
    When an answer with <framing> arrives <share> and ends by <end>
    Then the log names the framing <name>, the end <logged> and <partial> bytes of an event
    And a counter of answers has the framing <name> and the end <logged>

    Examples:
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
