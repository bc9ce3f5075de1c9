Feature: Distribution of weights between agents
  Every instance gets every chunk of the version that its row names, whatever fails on
  the way, and no copy is reported that is not complete and verified.

  @always_1
  Scenario Outline: Copies complete although <fault>
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm distributes the model and <fault>
    Then every agent of the swarm holds the whole model
    And no agent of the swarm reported a partial copy

    Examples:
      | fault                                           |
      | nothing fails                                   |
      | a source dies in the middle of a chunk          |
      | an owner dies before it has its chunks          |
      | two links stall without closing                 |
      | one chunk in ten arrives corrupted              |
      | the origin sends corrupt chunks for a while     |
      | a peer claims chunks that it does not have      |
      | a peer claims every chunk and never answers     |
      | the origin is down before the first copy        |
      | the origin never answers before the first copy  |
      | the origin refuses beyond 4 chunks in progress  |
      | the object store is down at first               |
      | an agent restarts with nothing                  |
      | a data centre is partitioned off and healed     |
      | a data centre is partitioned off from the start |
      | every second agent dies and is replaced         |

  @always_1
  Scenario Outline: The origin is not needed after the first copy: <loss>
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm distributes the model to half of its agents
    And the swarm loses <loss> and the row names all agents
    Then every agent of the swarm holds the whole model

    Examples:
      | loss             |
      | the origin       |
      | the object store |
      | both             |

  @always_1
  Scenario: A peer that keeps sending corrupt chunks is excluded
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm distributes the model and one agent corrupts all that it sends
    Then every agent of the swarm holds the whole model
    And some agent of the swarm excluded only the corrupting one

  @always_1
  Scenario: A peer that sends a few damaged chunks is not excluded
    Given a swarm of 4 agents in 1 region with a model of 96 chunks
    When the swarm distributes the model and one chunk in ten arrives corrupted
    Then every agent of the swarm holds the whole model
    And no agent of the swarm is excluded

  @always_1
  Scenario Outline: The origin sends about one copy although <fault>
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm distributes the model and <fault>
    Then the origin of the swarm sent at most 1.1 copies

    Examples:
      | fault                                          |
      | nothing fails                                  |
      | two links stall without closing                |
      | one chunk in ten arrives corrupted             |
      | the origin refuses beyond 4 chunks in progress |

  @always_1
  Scenario Outline: Agents outside a partition do not wait for those inside: <fault>
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm distributes the model and <fault>
    Then every agent of the swarm outside the partition was complete before it healed

    Examples:
      | fault                                           |
      | a data centre is partitioned off and healed     |
      | a data centre is partitioned off from the start |

  @always_1
  Scenario Outline: A data centre copies from its neighbours after a partition: <seed>
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    And the swarm is built from seed <seed>
    When the swarm distributes the model and a data centre is cut off early and healed
    Then every agent of the swarm holds the whole model
    And the origin of the swarm sent at most 0.1 copies after the partition

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 6    |
      | 7    |

  @always_1
  Scenario Outline: A failing origin is asked less and less: <fault>
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm distributes the model and <fault>
    Then each agent of the swarm asked the failing origin at most 14 times in 20 s
    And every agent of the swarm holds the whole model

    Examples:
      | fault                                        |
      | the origin is down before the first copy     |
      | the origin sends corrupt chunks for a while  |

  @always_1
  Scenario Outline: Links between regions carry each chunk about once: <fault>
    Given a swarm of 15 agents in 3 regions with a model of 48 chunks
    When the swarm distributes the model and <fault>
    Then every agent of the swarm holds the whole model
    And each link of the swarm into a region carried at most 1.1 copies

    Examples:
      | fault                                  |
      | nothing fails                          |
      | a source dies in the middle of a chunk |

  @always_1
  Scenario: An agent waits as long as the origin asks it to
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm distributes the model and the origin refuses beyond 4 chunks in progress
    Then no agent of the swarm asked the origin too early

  @always_1
  Scenario: Copies come from another region when the origin's region lost them
    Given a swarm of 9 agents in 3 regions with a model of 24 chunks
    When the swarm distributes the model
    And the swarm loses the origin and the whole first region is replaced
    Then every agent of the swarm holds the whole model

  @always_1
  Scenario Outline: A second fetch from the origin waits as the row prefers: <prefer>
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm prefers <prefer> and an owner falls silent
    Then the chunks of that owner are fetched again after <least> to <most> s

    Examples:
      | prefer       | least | most |
      | time         | 2     | 4    |
      | origin_bytes | 8     | 10   |

  @always_1
  Scenario Outline: Versions and adapters share one machine: <change>
    Given a swarm of 8 agents in 1 region with a model of 32 chunks
    When the swarm takes on <change>
    Then every agent of the swarm holds exactly what its rows name
    And no agent of the swarm reported a partial copy

    Examples:
      | change                                      |
      | a second version beside the first           |
      | an adapter beside the model                 |
      | a new version in the middle of the copy     |
      | a withdrawn row in the middle of the copy   |
      | fewer holders in the middle of the copy     |
      | the same version in two rows                |

  @always_1
  Scenario: A new version reuses the chunks of the old one
    Given a swarm of 8 agents in 1 region with a model of 32 chunks
    When the swarm replaces the model by a version that shares 24 chunks
    Then every agent of the swarm holds exactly what its rows name
    And the origin of the swarm sent only the 8 new chunks

  @always_1
  Scenario: A version that does not fit into memory is reported and not copied
    Given a swarm of 4 agents in 1 region with a model of 32 chunks
    And the swarm is limited to memory for 40 chunks
    When the swarm fails to fit a second version
    Then each agent of the swarm reports 24 chunks too little memory
    And every agent of the swarm still holds the first version

  @always_1
  Scenario: Transfers slow down while live requests are slow
    Given a swarm of 12 agents in 1 region with a model of 48 chunks
    When the swarm hears that live requests take twice as long
    Then the swarm sends at less than half its rate until they recover

  @always_1
  Scenario: A source that is much slower than the others is left out
    Given a swarm of 12 agents in 1 region with a model of 96 chunks
    When the swarm distributes the model and one link is four times slower
    Then every agent of the swarm but the slow one finished within 1.6 copies' time

  @always_1
  Scenario: Other regions do without an owner that is much slower than the others
    Given a swarm of 24 agents in 3 regions with a model of 96 chunks
    When the swarm distributes the model and one link is four times slower
    Then every agent of the swarm but the slow one finished within 2.0 copies' time

  @always_1
  Scenario: An urgent version is copied before another one
    Given a swarm of 8 agents in 1 region with a model of 48 chunks
    When the swarm takes on an urgent adapter during the copy
    Then every agent of the swarm holds the adapter before the model
