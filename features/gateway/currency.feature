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

  Scenario: Instances that take records from peers leave the store alone while these come
    Given an instance that takes records from 9 peers of its data centre
    When the store writes 5 changes in 5 s and all works
    Then the instance has not called the store
