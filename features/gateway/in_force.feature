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
