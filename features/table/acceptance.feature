Feature: Accepting a table
  An operator's change is recorded once or not at all, and the operator is told which.

  @always_7
  Scenario Outline: An acceptance is recorded once and comes into force despite <fault>
    Guards against a change that is lost, or recorded twice, when an answer of the
    table service does not arrive.
    Given a table deployment of 3 data centres
    When an operator accepts a change during <fault>
    Then the operator is told that it was accepted
    And the change is recorded as exactly one version
    And the change is in force everywhere within 8 s

    Examples:
      | fault                                   |
      | no fault                                |
      | a lost answer                           |
      | a lost request                          |
      | a transaction that takes effect late    |
      | two late transactions                   |
      | a lost answer and an outage             |
      | an outage of 3 s                        |
      | slow answers                            |
      | a partition of the operator for 3 s     |
      | a restart of every entry instance       |

  @always_7
  Scenario Outline: One of two operators wins while there is <fault>
    Guards against an operator's change that silently overwrites another one.
    Given a table deployment of 3 data centres
    When two operators change different rows at the same time during <fault>
    Then exactly one of them is told that it was accepted
    And the other one is shown the difference made by the winner
    And the other one's change can be accepted on top with nothing lost

    Examples:
      | fault                                |
      | no fault                             |
      | a lost answer                        |
      | a lost request                       |
      | a transaction that takes effect late |
      | two late transactions                |
      | an outage of 3 s                     |

  @always_7
  Scenario Outline: An operator who gives up is told what is certain: <fault>
    Guards against a report of failure for a change that later comes into force.
    Given a table deployment of 3 data centres
    When an operator accepts a change during <fault>
    Then the operator is told that it <outcome>
    And repeating the same change is accepted as exactly one version

    Examples:
      | fault                                  | outcome                  |
      | an outage of 60 s                      | was not accepted         |
      | a lost answer and an outage of 60 s    | may have been accepted   |
      | a lost request and an outage of 60 s   | may have been accepted   |

  Scenario: A rollback is a new version with the old content
    Guards against a rollback that makes version numbers go down.
    Given a table deployment of 3 data centres
    When an operator accepts two changes and rolls the last one back
    Then the history shows 4 versions and the newest has the content of version 2
    And the newest version is in force everywhere within 8 s

  Scenario Outline: A table that cannot be accepted changes nothing: <damage>
    Guards against a table that no process can parse or that fits in no frame.
    Given a table deployment of 3 data centres
    When an operator accepts a table with <damage>
    Then the operator is told that it was not accepted because of <reason>
    And the table service still has version 1

    Examples:
      | damage               | reason       |
      | an unknown half      | no half      |
      | too many limits      | bytes        |
      | a row without digest | digest       |

  @always_7
  Scenario: A change after the table service was restored to an older state
    Guards against a version number that is given twice after a restore.
    Given a table deployment of 3 data centres
    When the table service is restored to version 1 after version 3 was in force
    And an operator accepts a change that was planned against version 3
    Then the operator is told that it was accepted
    And the change is in force everywhere within 8 s
    And the recorded versions include 4
