Feature: Connections are cut in the order of what they hold and how little they advance

  Scenario: The limit is not exceeded
    Given a memory account of 1000 bytes
    When connections hold
      | name | bytes | kind    | since | advanced |
      | a    | 600   | request | 0     | 0        |
      | b    | 400   | request | 0     | 0        |
    Then at 10 s no connection is cut

  Scenario Outline: <first> is cut first: <why>
    Given a memory account of 1000 bytes
    When connections hold
      | name | bytes   | kind   | since | advanced |
      | a    | <bytes> | <kind> | 0     | <moved>  |
      | b    | 600     | answer | 0     | 9.5      |
    Then at 10 s only <first> is cut

    Examples:
      | bytes | kind    | moved | first | why                                |
      | 500   | request | 0     | a     | it stands still, the other flows   |
      | 500   | answer  | 0     | a     | its client has read nothing        |
      | 500   | request | 9.5   | b     | both flow, and it holds more       |
      | 900   | call    | 0     | b     | the other request is being handled |

  Scenario: What a machine of 200 MB and 4200 descriptors allows
    Then 42781900 bytes, 28521267 bytes of answers and 1800 connections are allowed
