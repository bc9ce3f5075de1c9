Feature: Weights that calls may run on
  No call begins on an older version later than the allowed time after a newer one was
  named, whatever each process knows and however long a call waits at its engine.

  Scenario Outline: The log tells how a process knows of a version that <way>
    Given an entry process that starts at 100 s
    When it reads versions <reads> of the weights at <times> s
    Then it logs version <version> with an age of <age> s from the source <source>

    Examples:
      | way                        | reads | times    | version | age | source  |
      | was there at its start     | 2     | 101      | 2       | 8.0 | assumed |
      | was named while it ran     | 1, 2  | 101, 105 | 2       | 0.0 | store   |

  Scenario: The log of a call tells on which weights it ran
    Given a gateway whose engines x and y serve version 1 and a route that may repeat
    When a call is sent 1.0 s after version 2 was named
    And the engine x answers
    Then the log of the call names version 1
