Feature: An instance notices that others decide by a newer configuration
  What an instance has read of the operator's table is not what it decides by: its copy may
  lack a record that it counts as read, and a record may fail to come into force.

  Scenario Outline: It logs what it decides by and what it has read when <cause>
    Given an entry process that decides by version 1 of the configuration
    When version 2 is written and <cause>
    And a peer decides by version 2 for 1.0 s
    Then it has logged that version 1 is outpaced by 2, with <newest> as its newest change

    Examples:
      | cause                         | newest |
      | its copy skips the record     | 0/5    |
      | the record cannot be decoded  | 0/6    |
      | applying it fails every time  | 0/6    |

  @always_7
  Scenario Outline: It <outcome> when <cause>
    Given an entry process that decides by version 1 of the configuration
    When version 2 is written and <cause>
    And a peer decides by version 2 for 4.0 s
    Then it <outcome>

    Examples:
      | cause                                                       | outcome                           |
      | its copy skips the record                                   | decides by version 2 within 1.0 s |
      | its copy skips the record and it does not read the store    | decides by version 2 within 1.0 s |
      | the record cannot be decoded                                | stops serving within 1.5 s        |
      | applying it fails every time                                | stops serving within 1.5 s        |

  @always_7
  Scenario: It takes the configuration after more failures than a change is repeated
    Given an entry process that decides by version 1 of the configuration
    When version 2 is written and applying it fails every time
    And 20 s pass until it can be applied
    And a peer decides by version 2 for 2.0 s
    Then it decides by version 2 and serves

  @always_7
  Scenario Outline: An instance that cannot take a configuration serves again when <situation>
    Given an entry process that decides by version 1 of the configuration
    When version 2 is written and the record cannot be decoded
    And a peer decides by version <decided> for 4.0 s
    And <situation>
    Then it goes on serving by version 1

    Examples:
      | decided | situation                                    |
      | 1       | no peer has taken it either                  |
      | 2       | the peer that had taken it is gone           |
      | 2       | the connection to the peer that had it is lost |

  Scenario: An instance that cannot take a configuration reads its table at most once a second
    Given an entry process that decides by version 1 of the configuration
    When version 2 is written and the record cannot be decoded
    And a peer decides by version 2 for 10.0 s
    Then it has read the whole table at most 11 times

  @always_7
  Scenario: Configurations that follow each other closely do not stop an instance
    Given an entry process that decides by version 1 of the configuration
    When a peer is ahead by 0.3 s through 20 versions
    Then it has served all the time

  @always_7
  Scenario: It tells its peers what it decides by, not what it has read
    Given an entry process that decides by version 1 of the configuration
    When version 2 is written and the record cannot be decoded
    Then its frames name version 1
    And its frames name version 2 as soon as it decides by it
