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

  @always_1
  Scenario Outline: An entry instance requires new weights in time although <case>
    Given entry instances that start at 100 s
    When "<events>"
    Then at <before> s instance far still sends calls to version 1
    And at <after> s instance far sends calls to version 2 or newer only

    # Calls are sent to a new version only from 6.8 s after its naming on.
    Examples:
      | case                                    | events                                                                                                                     | before | after |
      | it hears of them a second late          | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; far reads 2 at 121; near tells far at 121.2                  | 126.7  | 126.9 |
      | it reads them after its peer's report   | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near tells far at 120.5; far reads 2 at 121                  | 126.7  | 126.9 |
      | the first report is a second on its way | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near tells far at 120.1 for 121.1; near tells far at 121.2   | 126.7  | 126.9 |
      | they were replaced before it read them  | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near reads 3 at 122; far reads 3 at 123; near tells far at 123.2 | 126.7  | 126.9 |
      | it never read them                      | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near tells far at 121.2                                      | 126.7  | 126.9 |

  Scenario: An age that an instance only assumes is not reported to others
    Given entry instances that start at 100 s
    When "far reads 1 at 101; near reads 2 at 122; near tells far at 122.1; far reads 2 at 122.2"
    Then at 128.9 s instance far still sends calls to version 1
    And at 129.1 s instance far sends calls to version 2 or newer only

  Scenario Outline: A report with <ages> changes nothing
    Given entry instances that start at 100 s
    When "far reads 1 at 101"
    And a peer reports the ages <ages> to far
    Then at 200.0 s instance far still sends calls to version 1
    And far has counted a rejected report

    Examples:
      | ages                  |
      | {"m": 2}              |
      | {"m": [2]}            |
      | {"m": [[2, 9.0, 1]]}  |
      | {"m": [[true, 9.0]]}  |
      | {"m": [["2", 9.0]]}   |
      | {"m": [[2, -1.0]]}    |
      | {"m": [[2, NaN]]}     |

  Scenario: Ages of many models take no more memory than their limit
    Given entry instances that start at 100 s
    When a peer reports 100 versions of each of 100 models to far
    Then far keeps 16 versions of 64 models

  Scenario: The log of a call tells on which weights it ran
    Given a gateway whose engines x and y serve version 1 and a route that may repeat
    When a call is sent 1.0 s after version 2 was named
    And the engine x answers
    Then the log of the call names version 1
