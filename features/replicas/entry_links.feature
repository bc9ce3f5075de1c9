Feature: Connections of agents to entry instances
  Notices of entry instances reach each agent on a few connections only, and another one
  takes the place of each that fails.

  Scenario: Agents connect to every entry instance, and notices fill the links
    Given 58 agents and 45 entry instances in 4 data centres
    When every dial succeeds for 5 s
    Then each agent has 3 connections, 2 of them in its data centre
    And each agent dialled 3 times

  Scenario Outline: An agent stays connected when <trouble>
    Given an agent that knows entry instances "<instances>"
    When the agent runs for 10 s while <trouble>
    Then the agent is connected to <local> local and <other> other entry instances
    And no entry instance was dialled more than <dials> times

    # l local, o other
    Examples:
      | trouble                           | instances         | local | other | dials |
      | nothing fails                     | l1 l2 l3 o1 o2 o3 | 2     | 1     | 1     |
      | l1 and l2 cannot be dialled       | l1 l2 l3 o1 o2 o3 | 1     | 2     | 6     |
      | all local ones cannot be dialled  | l1 l2 l3 o1 o2 o3 | 0     | 3     | 6     |
      | all others cannot be dialled      | l1 l2 l3 o1 o2 o3 | 2     | 0     | 6     |
      | l1 is silent                      | l1 l2 l3 o1 o2 o3 | 2     | 1     | 5     |
      | there are few                     | l1 o1             | 1     | 1     | 1     |

  Scenario: Connections beyond the limit are closed when local entry instances return
    Given an agent that knows entry instances "l1 l2 l3 o1 o2 o3"
    When the agent runs for 10 s while all local ones cannot be dialled
    And the agent runs for 10 s while nothing fails
    Then the agent is connected to 2 local and 1 other entry instances

  Scenario: An agent process dials all entry instances that it reads
    Given an agent process that reads a list of 45 entry instances
    When it connects to entry instances
    Then it dials 3 of them
