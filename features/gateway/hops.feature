Feature: A change is in force everywhere in time when hops on its way fail
  Times are counted from the store's acknowledgement, or from when the last instance runs
  again. Within half of the bound of 2 s while the store can be seen.

  @always_7
  Scenario Outline: Data centres with <layout> instances get a change within <limit> s when <trouble>
    Given data centres with <layout> instances that follow the store
    When the store acknowledges a change and <trouble>
    Then every instance holds the change within <limit> s

    Examples:
      | layout | limit | trouble                                            |
      | 3+1+2  | 1.0   | all works                                          |
      | 3+1+2  | 1.0   | an outage has just ended                           |
      | 1      | 1.0   | an outage has just ended                           |
      | 12     | 1.0   | an outage has just ended                           |
      | 3+1+2  | 1.0   | refusals have just ended                           |
      | 1      | 1.0   | refusals have just ended                           |
      | 3+1+2  | 2.0   | held polls hear nothing and the history is dropped |
      | 1      | 2.0   | held polls hear nothing and the history is dropped |
      | 3+1+2  | 2.0   | the history is dropped after an outage             |
      | 1      | 2.0   | the history is dropped after an outage             |
      | 12     | 2.0   | the history is dropped after an outage             |
      | 3+1+2  | 2.0   | the history is dropped after an outage and it      |
      | 1      | 2.0   | the history is dropped after an outage and it      |
      | 3+1+2  | 2.0   | an answer to each is lost after an outage          |
      | 1      | 2.0   | an answer to each is lost after an outage          |
      | 3+1+2  | 2.0   | a dial of each is lost after an outage             |
      | 1      | 2.0   | a dial of each is lost after an outage             |
      | 3+1+2  | 2.0   | the held polls are lost                            |
      | 1      | 2.0   | the held polls are lost                            |
      | 12     | 2.0   | the held polls are lost                            |
      | 3+1+2  | 2.0   | the readers of a data centre die                   |
      | 12     | 2.0   | the readers of a data centre die                   |
      | 3+1+2  | 2.0   | no records of peers arrive                         |
      | 12     | 2.0   | no records of peers arrive                         |
      | 12     | 0.6   | the first reply of peers to each is lost           |
      | 3+1+2  | 2.0   | the store is slow                                  |
      | 1      | 2.0   | the store is slow                                  |
      | 3+1+2  | 2.0   | an instance wakes from a freeze                    |
      | 1      | 2.0   | an instance wakes from a freeze                    |

  Scenario: Instances do not read the store in step after an outage
    Given data centres with 3+1+2 instances that follow the store
    When the store comes back after an outage
    Then the reads of all instances are at most 0.8 s apart

  Scenario Outline: Calls to a store that <trouble> for 6 s are bounded with <layout> instances
    Given data centres with <layout> instances that follow the store
    When the store is <trouble> for 6 s
    Then it gets at most <calls> calls and 4 at a time of each instance

    Examples:
      | layout | trouble | calls |
      | 1      | silent  | 20    |
      | 3+1+2  | silent  | 120   |
      | 1      | refuses | 30    |
      | 3+1+2  | refuses | 180   |
      | 1      | is slow | 15    |
      | 3+1+2  | is slow | 75    |

  @always_7
  Scenario Outline: News of the store that waited on its way is as old as it is when <news>
    Given data centres with 1+1 instances that follow the store
    When news are late: <news>
    Then an instance knows the store as it was <age> s ago at best

    Examples:
      | news                                                             | age |
      | an answer of the store waits in the socket of a frozen instance  | 3.9 |
      | reports of peers are late by 1.5 s                               | 1.4 |

  @always_7
  Scenario Outline: The times of all hops stay within <share> of the bound of <in_force> s when <lost>
    Given a configuration that has to be in force within <in_force> s and hops of 0.05 s
    When <lost> on the way of a change
    Then the sum of the times of its hops is at most <share> of the bound

    Examples:
      | in_force | share | lost                                           |
      | 2.0      | 0.5   | nothing is lost                                |
      | 2.0      | 0.5   | an outage ends                                 |
      | 2.0      | 1.0   | the poll that is held is lost                  |
      | 2.0      | 1.0   | the held poll and a snapshot are lost          |
      | 2.0      | 1.0   | a dial fails after an outage                   |
      | 2.0      | 1.0   | an answer is lost after an outage              |
      | 2.0      | 1.0   | a reply of a peer is lost                      |
      | 2.0      | 1.0   | the readers are lost                           |
      | 2.0      | 1.0   | the readers are lost and a dial fails          |
      | 4.0      | 1.0   | the held poll and a snapshot are lost          |
      | 4.0      | 1.0   | the readers are lost and a dial fails          |
