Feature: Weights that calls may run on
  No call begins on an older version later than the allowed time after a newer one was
  named, whatever each process knows and however long a call waits at its engine.

  Scenario Outline: The log tells how a process knows of a version that <way>
    Given an entry process that starts at 100 s
    When it reads versions <reads> of the weights at <times> s
    Then it logs version <version> with an age of <age> to <max_age> s from the source <source>

    Examples:
      | way                        | reads | times    | version | age | max_age | source  |
      | was there at its start     | 2     | 101      | 2       | 0.0 | 8.0     | assumed |
      | was named while it ran     | 1, 2  | 101, 105 | 2       | 0.0 | 0.0     | store   |

  @always_1
  Scenario Outline: An entry instance requires new weights in time although <case>
    Given entry instances that start at 100 s
    When "<events>"
    Then at <before> s instance far still sends calls to version 1
    And at <after> s instance far sends calls to version 2 or newer only

    # Calls are sent to a new version only from 6.8 s after its naming on. A read "after"
    # a time is one whose last answer without the version was made then.
    Examples:
      | case                                    | events                                                                                                                     | before | after |
      | it hears of them a second late          | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; far reads 2 at 121 after 119.5; near tells far at 121.2                  | 126.7  | 126.9 |
      | it reads them after its peer's report   | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near tells far at 120.5; far reads 2 at 121 after 119.5                  | 126.7  | 126.9 |
      | the first report is a second on its way | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near tells far at 120.1 for 121.1; near tells far at 121.2   | 126.7  | 126.9 |
      | they were replaced before it read them  | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near reads 3 at 122; far reads 3 at 123 after 119.5; near tells far at 123.2 | 126.7  | 126.9 |
      | it fails to apply them at first         | near reads 1 at 101; far reads 1 at 101; far fails to apply 2 at 120; far reads 2 at 122                                   | 126.7  | 126.9 |
      | it never read them                      | near reads 1 at 101; far reads 1 at 101; near reads 2 at 120; near tells far at 121.2                                      | 126.7  | 126.9 |

  @always_1
  Scenario Outline: An entry instance that restarts after version 2 was named: <case>
    Given entry instances that start at 100 s
    When "near reads 1 at 101; near reads 2 at 120; <events>"
    Then at <time> s instance far sends calls to version <least> or newer only

    Examples: a peer knows when it was named
      | case                       | events                                                             | time  | least |
      | before the bound           | far starts at 122; far reads 2 at 122.5; near tells far at 122.6   | 126.7 | 1     |
      | near the bound             | far starts at 122; far reads 2 at 122.5; near tells far at 122.6   | 126.9 | 2     |
      | it hears from a peer first | far starts at 122; near tells far at 122.2; far reads 2 at 122.5   | 126.7 | 1     |
      | it is long past the bound  | far starts at 180; far reads 2 at 180.1; near tells far at 180.2   | 180.3 | 2     |
      | version 3 was named too    | near reads 3 at 122; far starts at 124; far reads 3 at 124.1; near tells far at 124.2 | 126.7 | 1 |
      | version 2 is due before 3  | near reads 3 at 122; far starts at 124; far reads 3 at 124.1; near tells far at 124.2 | 126.9 | 2 |

    Examples: no peer knows when it was named
      | case                         | events                                                                                  | time  | least |
      | it knows no peer             | far starts at 122; far reads 2 at 122.5                                                 | 122.6 | 2     |
      | its peer assumes too         | near starts at 121; near reads 2 at 121.5; far starts at 122; far reads 2 at 122.5; near tells far at 122.6 | 122.7 | 2 |
      | its peer knows of 3 only     | near starts at 121; near reads 2 at 121.5; near reads 3 at 122; far starts at 123; far reads 3 at 123.1; near tells far at 123.2 | 123.3 | 2 |

  Scenario: A peer that was cut off does not make a version younger than its first read
    Given entry instances that start at 100 s
    When "near reads 1 at 101; far starts at 122; far reads 2 at 122.5; near reads 2 at 130; near tells far at 130.1"
    Then at 130.2 s instance far sends calls to version 2 or newer only

  @always_1
  Scenario Outline: A version that was replaced before an entry instance read it: <case>
    Given entry instances that start at 100 s
    When "far reads 1 at 101; near reads 1 at 101; <events>"
    Then at <before> s instance far still sends calls to version 1
    And at <after> s instance far sends calls to version 2 or newer only
    And at 131.0 s instance far sends calls to version 3 or newer only

    Examples:
      | case                        | events                                                                                              | before | after |
      | a peer knows of both        | near reads 2 at 121; near reads 3 at 122; far reads 3 at 123 after 119.9; near tells far at 123.1   | 127.7  | 127.9 |

  @always_1
  Scenario Outline: Versions that were named between two reads of an entry instance: <case>
    Given entry instances that start at 100 s
    When "far reads 1 at 101; near reads 1 at 101; <events>"
    Then at <before> s instance far still sends calls to version 1
    And at <after> s instance far sends calls to version 3 or newer only

    # Without a peer that knows better, both versions may be as old as the last answer of
    # the store that did not have them.
    Examples:
      | case                    | events                                                                          | before | after |
      | no peer knows of them   | far reads 3 at 123 after 119.9                                                  | 126.6  | 126.8 |
      | a peer knows of version 2 | near reads 2 at 121; far reads 3 at 123 after 119.9; near tells far at 123.1  | 127.7  | 127.9 |
      | a peer was between them | near reads 3 at 122.5 after 121; far reads 3 at 123 after 119.9; near tells far at 123.1 | 127.7 | 127.9 |

  Scenario: Versions that were named during a long outage of the store are due at once
    Given entry instances that start at 100 s
    When "far reads 1 at 101; far reads 3 at 123 after 105"
    Then at 123.0 s instance far sends calls to version 3 or newer only

  Scenario: Reloaded settings leave the allowed time of weights as it was
    Given entry instances that start at 100 s
    When "far reads 1 at 101; far reads 2 at 120; far is told to allow 4.0 s at 121"
    Then at 123.2 s instance far still sends calls to version 1
    And at 123.5 s instance far sends calls to version 2 or newer only

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
      | {"m": [[2, 1.0, NaN]]} |
      | {"m": [[2, 1.0, Infinity]]} |
      | {"m": [[2, 1.0, 1e10]]} |
      | {"m": [[2, 1.0, "9"]]} |
      | {"m": [[2, 1.0, 9.0, 9.0]]} |
      | {"m": [[-2, 1.0, 9.0]]} |
      | {"m": [[9007199254740993, 1.0, 9.0]]} |

  Scenario: The report of an older build, without the greatest ages, is used as far as it goes
    Given entry instances that start at 100 s
    When "far reads 1 at 101"
    And a peer reports the ages {"m": [[2, 0.5]]} to far
    Then at 101.0 s instance far sends calls to version 2 or newer only
    And far has counted no rejected report

  Scenario: Ages of many models take no more memory than their limit
    Given entry instances that start at 100 s
    When a peer reports 100 versions of each of 100 models to far
    Then far keeps 16 versions of 64 models

  Scenario: The log of a call tells on which weights it ran
    Given a gateway whose engines x and y serve version 1 and a route that may repeat
    When a call is sent 1.0 s after version 2 was named
    And the engine x answers
    Then the log of the call names version 1

  @always_1 @always_4
  Scenario Outline: A call that waits at an engine with older weights begins there after the bound: the route <kind>
    Given a gateway whose engines x and y serve version 1 and a route that <kind>
    When a call is sent 6.7 s after version 2 was named
    And 7.6 s after it the other engine serves version 2
    Then its engine is told to stop 0.25 s before the bound
    And its engine counts as healthy and is not probed
    And <outcome>

    Examples:
      | kind                | outcome                                          |
      | may repeat          | the call is sent to the engine with version 2    |
      | streams and resumes | the call is sent to the engine with version 2    |
      | runs once only      | the caller gets 502, and that the call may have run |
      | streams once        | the caller gets 502, and that the call may have run |

  @always_1
  Scenario: A call that no engine with new weights can take begins after the bound
    Given a gateway whose engines x and y serve version 1 and a route that may repeat
    When a call is sent 6.7 s after version 2 was named
    Then its engine is told to stop 0.25 s before the bound
    And the caller gets 502, and that the call may have run

  @always_1
  Scenario Outline: A resumed stream begins after the bound at an engine with older weights when <case>
    Given a gateway whose engines x and y and z serve version 1 and a route that streams and resumes
    When a call is sent 6.7 s after version 2 was named
    And its stream breaks after event 2 and is resumed at another engine
    And <case>
    And 7.6 s after it the other engine serves version 2
    Then its engine is told to stop 0.25 s before the bound
    And the call is sent to the engine with version 2
    And the second send names event 2 as the last one

    Examples:
      | case                               |
      | 6.8 s have passed since            |
      | the other engine repeats event 2   |
      | the caller reads nothing           |

  Scenario Outline: A call that began in time is not withdrawn: its engine sent <part>
    Given a gateway whose engines x and y serve version 1 and a route that <kind>
    When a call is sent 6.7 s after version 2 was named
    And its engine sends <part> of the answer
    Then its engine still works on it 0.2 s after the bound

    Examples:
      | part              | kind                |
      | a part            | may repeat          |
      | the head and event 1 | streams and resumes |

  @always_1
  Scenario: A call whose engine sent the head only has not begun
    Given a gateway whose engines x and y serve version 1 and a route that streams and resumes
    When a call is sent 6.7 s after version 2 was named
    And its engine sends only the head of the answer
    And 7.6 s after it the other engine serves version 2
    Then its engine is told to stop 0.25 s before the bound

  Scenario: A call whose engine has loaded the new weights meanwhile is not withdrawn
    Given a gateway whose engines x and y serve version 1 and a route that may repeat
    When a call is sent 6.7 s after version 2 was named
    And 7.6 s after it its engine serves version 2
    Then its engine still works on it 0.2 s after the bound

  @always_1
  Scenario: A call is sent on old weights when they are forbidden during a dial
    Given a gateway whose engines x and y serve version 1 and a route that runs once only
    When a call is placed 6.7 s after version 2 was named
    And 6.85 s after it the other engine serves version 2
    And its engine accepts the connection
    Then the call is not sent to its engine
    And the call is sent to the engine with version 2
    And its engine counts as healthy and is not probed

  Scenario: A call is sent to an engine that began to drain during a dial
    Given a gateway whose engines x and y serve version 2 and a route that runs once only
    When a call is placed 6.7 s after version 2 was named
    And its engine begins to drain
    And its engine accepts the connection
    Then the call is not sent to its engine
    And the call is sent to the engine with version 2

  # The list of endpoints shows weights late, so that only the engine knows what it has.
  @always_1
  Scenario Outline: A call begins on old weights that the list says are new: <case>
    Given a gateway whose engines x and y serve version <served> and a route that may repeat
    When a call is sent <after> s after version 2 was named
    Then the engine is asked to check <check>

    Examples:
      | case                                         | served | after | check              |
      | older ones are forbidden                     | 2      | 6.9   | that it has version 2 |
      | older ones are still allowed                 | 2      | 1.0   | no version         |
      | the engine has an older one that is allowed  | 1      | 1.0   | no version         |
      | the engine is ahead of the newest known name | 3      | 6.9   | no version         |

  @always_1
  Scenario: An engine that refuses a call because of its weights gets another one
    Given a gateway whose engines x and y serve version 2 and a route that may repeat
    When a call is sent 6.9 s after version 2 was named
    And its engine answers that it has other weights
    Then the call is sent to the engine with version 2
    And the call has been sent to two engines

  @always_1
  Scenario: A bound in force is kept while the time of a newer version is corrected
    Given weights of which version 2 was named at 120 s
    When a report without a known delay tells of versions 2 and 3 at 127.9 s
    And a report that was made at once tells that 3 was named at 127.7 s at 128.0 s
    Then calls need version 2 at 128.0 s
