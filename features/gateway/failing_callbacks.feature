Feature: Changes whose callback fails
  A copy of a table includes a change before the change is applied. An error while it is
  applied must not leave it out until the table changes again.

  @always_7
  Scenario Outline: A change from <source> is applied although its callback fails <failures> times
    Given a follower of a table whose callback fails <failures> times
    When version 6 comes from <source>
    Then version 6 is applied within <within> s
    And each failure was logged with the end of its traceback
    And the table is still followed and no read was repeated

    Examples:
      | source    | failures | within |
      | the store | 1        | 0.3    |
      | the store | 3        | 1.0    |
      | a peer    | 1        | 0.3    |
      | a peer    | 3        | 1.0    |

  @always_7
  Scenario: A newer change is applied at once while an older one waits for its repeat
    Given a follower of a table whose callback fails 3 times
    When version 6 comes from the store
    And version 7 comes from the store 0.25 s later
    Then version 7 is applied within 0.5 s
    And nothing is left to repeat

  Scenario: A callback that always fails is given up, and the table is still followed
    Given a follower of a table whose callback fails 99 times
    When version 6 comes from the store
    And 20 s pass
    Then the callback was called 9 times
    And the table is still followed and no read was repeated

  @always_7
  Scenario Outline: An error in one part of a change loses no other part: <part>
    Given an entry process with a configuration, a named version and an endpoint
    When each of them changes while the decoding of the <part> fails
    Then the others are in force at once
    And the <part> is in force within 1.0 s of the end of the failure

    Examples:
      | part          |
      | configuration |
      | named version |
      | endpoints     |

  @always_7
  Scenario: A table is not read any more after answers that cannot be used
    Given a follower of a table whose callback fails 0 times
    When the next 6 answers of the store cannot be used
    And then the store writes version 6
    Then version 6 is applied within 1.0 s
    And each answer that could not be used was logged with the end of its traceback
