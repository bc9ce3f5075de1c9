Feature: Manifests spread from agent to agent
  The origin takes few connections and may go down soon after a version was named.
  An agent without the manifest can fetch no piece.

  # 34 agents connected to the origin at once; 22 failed together three times, and had no
  # manifest when the origin went down 2.5 s after the naming.
  Scenario Outline: Agents fail together at an origin that soon goes down: <trouble>
    Given 50 agents in 3 data centres, and an origin that queues 12 dials
    And in the fleet <trouble>
    When a version is named, the origin fails after 2.5 s, and 3.0 s pass
    Then every agent that can get the manifest has it after <limit_s> s
    And at no time more than <dials> agents connect for the manifest

    Examples:
      | trouble                                       | limit_s | dials |
      | nothing fails                                 | 0.5     | 6     |
      | 3 in 10 agents are cut off                    | 1.5     | 16    |
      | a data centre and two other agents are cut off | 1.5    | 16    |
      | the first agents of a data centre are cut off | 1.5     | 12    |
      | only one data centre reaches the origin       | 1.5     | 12    |

  Scenario: Agents of an old build close the connection on the unknown message
    Given 50 agents in 3 data centres, and an origin that queues 12 dials
    And in the fleet agents of a data centre run an old build
    When a version is named, the origin fails after 2.5 s, and 3.0 s pass
    Then every agent that can get the manifest has it after 0.5 s
    And no agent lost more than 2 connections to the same peer

  # A wrong digest in one answer of the origin must not stop the other agents.
  Scenario: A manifest with a wrong digest spreads from the first agents
    Given 50 agents in 3 data centres, and an origin that queues 12 dials
    And in the fleet the origin sent wrong digests to a first agent of each
    When a version is named, the origin fails after 60.0 s, and 4.0 s pass
    Then every agent has the right manifest
    And no agent asked the origin for the manifest more than twice

  Scenario: A wrong manifest that came first stays with the agents that have it from peers
    Given 50 agents in 3 data centres, and an origin that queues 12 dials
    And in the fleet only one agent is answered at first, and with wrong digests
    When a version is named, the origin fails after 60.0 s, and 8.0 s pass
    Then every agent has the right manifest

  # 46 of 50 agents connected at once when they had the manifest; 29 of 48 pieces were out
  # when the origin went down.
  Scenario: The first requests for pieces coincide at the origin
    Given 50 agents in 3 data centres, and an origin that queues 12 dials
    And in the fleet nothing fails
    When a version is named, the origin fails after 2.5 s, and 2.6 s pass
    Then at no time more than 6 agents connect for the piece
    And all 48 pieces have left the origin after 2.3 s

  # 17 of 48 chunks had a home region that was cut off. One of them came every few seconds.
  Scenario: A home region that is cut off holds its chunks up in all others
    Given 50 agents in 3 data centres, and an origin that queues 12 dials
    And in the fleet a data centre and two other agents are cut off
    When a version is named, the origin fails after 60.0 s, and 7.0 s pass
    Then all 48 pieces have left the origin after 2.5 s
    And every agent that is not cut off has its copy after 6.5 s
    And the origin sent at most 54 pieces

  # Where owner and second candidate were cut off, the chunk came after 5.4 s.
  Scenario: Nobody takes a chunk over whose first two candidates are cut off
    Given 50 agents in 3 data centres, and an origin that queues 12 dials
    And in the fleet 3 in 10 agents are cut off
    When a version is named, the origin fails after 60.0 s, and 2.6 s pass
    Then all 48 pieces have left the origin after 2.5 s

  Scenario: A piece that arrives after its manifest was replaced is lost
    Given an agent that requested a piece of a manifest
    When another manifest replaces it and the piece arrives
    Then the agent has taken the piece
