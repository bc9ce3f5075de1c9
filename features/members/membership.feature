Feature: Membership
  Instances that stop, leave or are replaced are known within seconds, although the
  platform's list lags, and with bounded traffic.

  @always_5
  Scenario Outline: An instance that dies is confirmed as gone despite <fault>
    Guards against new work for an instance that the platform still lists.
    Given a member deployment of 2 data centres with 20 instances each
    When an instance dies during <fault>
    Then every running instance of its data centre holds it as gone within 6 s
    And the platform's list still has it
    And no running instance is held as gone

    Examples:
      | fault                                  |
      | no fault                               |
      | the death of 7 others together         |
      | a pause of 5 others for 4 s            |
      | a partition from the platform          |
      | a partition between the data centres   |
      | clocks that differ                     |

  Scenario Outline: An instance that is paused for <pause> s is <result> by its peers
    Guards against an instance that stays excluded after a pause, and against one that
    is excluded for a short one.
    Given a member deployment of 2 data centres with 20 instances each
    When an instance is paused for <pause> s
    Then it is <result> by its peers meanwhile
    And every instance holds it as usable within 4 s after the pause
    And it holds every other instance as usable

    Examples:
      | pause | result       |
      | 1.5   | held usable  |
      | 10    | held gone    |

  Scenario: A process that is cut off does not take the others for gone
    Guards against an instance with a broken link that excludes everybody else.
    Given a member deployment of 2 data centres with 20 instances each
    When one instance loses its network for 15 s
    Then it is held gone by its peers meanwhile
    And it held every other instance as usable meanwhile
    And every instance holds it as usable within 4 s after the fault

  Scenario Outline: A broken link between two of <count> instances excludes neither
    Guards against an instance that one single peer cannot hear and reports as gone.
    Given a member deployment of 2 data centres with <count> instances each
    When the link between an instance and one of its listeners breaks for 20 s
    Then both were held usable everywhere all the time

    Examples:
      | count |
      | 4     |
      | 20    |
      | 70    |

  Scenario: A wrong notice of a stop is refuted
    Guards against an instance that stays excluded because one peer was wrong.
    Given a member deployment of 2 data centres with 20 instances each
    When a notice says that a running instance is gone
    Then every instance holds it as usable within 4 s after the notice

  @always_5 @always_6
  Scenario Outline: A planned stop is known everywhere despite <fault>
    Guards against new work for an instance that is about to stop.
    Given a member deployment of 2 data centres with 20 instances each
    When an instance announces its stop during <fault>
    Then every instance of its data centre holds it as leaving within 1 s
    And no other instance holds it as usable within 4 s
    And it polls the table service no more

    Examples:
      | fault                                  |
      | no fault                               |
      | an outage of the table service         |
      | a partition from the platform          |
      | a pause of 5 others for 4 s            |
      | the death of 7 others together         |
      | an exit right after it                 |

  Scenario Outline: An instance replaced under the same address while its former process <former>
    Guards against a former process that speaks for its replacement.
    Given a member deployment of 2 data centres with 20 instances each
    When an instance is replaced while its former process <former>
    Then every instance of its data centre holds the replacement as usable within 4 s
    And the former process is rejected when it <event>

    Examples:
      | former                         | event       |
      | is dead                        | never wakes |
      | is paused                      | wakes       |
      | is paused and leaving          | wakes       |

  Scenario Outline: Peers and traffic are bounded with <count> instances
    Guards against a full mesh and against traffic that grows with the fleet.
    Given a member deployment of 2 data centres with <count> instances each
    Then each instance sends heartbeats to at most 8 peers and is heard by as many
    And news cross the data centre in at most 6 hops
    When 5 instances of a data centre die together
    Then no instance sends or receives more than 4096 bytes a second

    Examples:
      | count |
      | 3     |
      | 9     |
      | 20    |
      | 70    |

  Scenario: A member that leaves the platform's list is forgotten
    Guards against a list of members that only grows.
    Given a member deployment of 2 data centres with 20 instances each
    When an instance dies during no fault
    Then no instance knows it 80 s later
