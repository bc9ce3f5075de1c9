Feature: An accepted configuration is in force everywhere within its bound
  The smaller deployments allow 2 s. Instances that take records from peers must not rely
  on them alone: the readers may hear nothing of the store, and replies may be late.

  @always_7
  Scenario Outline: An instance that takes records from peers holds a change in time when <trouble>
    Given an instance that takes records from 9 peers of its data centre
    When the store writes a change and <trouble>
    Then the instance holds the change within 2.0 s

    Examples:
      | trouble                                                  |
      | all works                                                |
      | the readers' long polls are silent from just before it   |
      | the readers stop                                         |
      | peers report it, but no reply of theirs arrives          |
      | the readers report it late, with replies that are lost   |

  @always_7
  Scenario Outline: A deployment that allows <in_force> s gets a change in time when <trouble>
    Given an instance that takes records from 9 peers of its data centre
    And a configuration has to be in force within <in_force> s
    When the store writes a change and <trouble>
    Then the instance holds the change within <in_force> s

    Examples:
      | in_force | trouble                                                |
      | 3.0      | the readers' long polls are silent from just before it |
      | 4.0      | the readers' long polls are silent from just before it |
      | 4.0      | the readers stop                                       |
      | 4.0      | peers report it, but no reply of theirs arrives        |
      | 8.0      | the readers' long polls are silent from just before it |

  Scenario Outline: Calls to the store do not grow with the instances: <count> for <duration> s
    Given <count> instances of a data centre that follow the store
    And a configuration has to be in force within <in_force> s
    When nothing changes for <duration> s
    Then they make at most <calls> calls to the store

    # A table takes two polls at a time in each data centre.
    Examples:
      | count | in_force | duration | calls |
      | 3     | 4.0      | 20       | 24    |
      | 20    | 4.0      | 20       | 24    |
      | 60    | 4.0      | 20       | 24    |
      | 20    | 2.0      | 20       | 44    |
      | 100   | 2.0      | 20       | 44    |

  Scenario: Instances that take records from peers leave the store alone while these come
    Given an instance that takes records from 9 peers of its data centre
    When the store writes 5 changes in 5 s and all works
    Then the instance has not called the store

  Scenario Outline: <count> processes read the list of instances, <trouble>
    Given <count> processes that read the list of instances at their start
    When 120 s pass while <trouble>
    Then they have read it at most <reads> times

    # Two reads of each process at the start, then one a second of all together.
    Examples:
      | count | trouble                    | reads |
      | 7     | nothing fails              | 91    |
      | 60    | nothing fails              | 240   |
      | 240   | nothing fails              | 600   |
      | 60    | the list lacks an instance | 780   |
      | 60    | every read fails           | 780   |

  Scenario Outline: A process whose list may be incomplete reads it again, <trouble>
    Given 60 processes that read the list of instances at their start
    When 40 s pass while <trouble>
    Then each has read it at least <reads> times

    Examples:
      | trouble                    | reads |
      | nothing fails              | 2     |
      | the list lacks an instance | 4     |
      | every read fails           | 4     |

  # Each change as a message to each of 98 instances filled the links between regions.
  Scenario: Reports to other data centres do not grow with the changes that are read
    Given an instance with 4 peers of its data centre and 40 of others
    When it reads 10 changes a second for 5 s
    Then it has sent at most 1.1 reports to each of the others in 0.9 s
    And it has told each of its data centre of each change
