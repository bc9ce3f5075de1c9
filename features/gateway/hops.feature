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
