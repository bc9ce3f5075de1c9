Feature: Cache events of the engines
  Hints follow what the engines hold. A hint that is wrong draws requests to an endpoint
  that has to process their prompts again, so it must not stay for long after an event,
  a report or a process was lost.

  Scenario Outline: A wrong hint goes: <fault>
    Given a cache of 64 blocks whose prefixes 2 entry instances know
    When the cache meets the fault "<fault>"
    Then the cache hints of every entry instance are right within 12 s

    Examples:
      | fault                                             |
      | the prefix is evicted                             |
      | the prefix is evicted while a request runs        |
      | the event of the eviction is lost                 |
      | the event of the eviction comes 3 s late          |
      | the engine restarts and stays idle                |
      | the engine restarts and counts past the old event |
      | the engine restarts and its events come 3 s late  |
      | the agent restarts while the prefix is evicted    |
      | the report of the eviction is not delivered       |
      | the engine gives no events any more               |
      | other weights are loaded                          |
      | evictions exceed the budget of the reports        |
      | an entry instance misses reports and reconnects   |

  Scenario Outline: A right hint reaches every entry instance: <case>
    Given a cache of 64 blocks whose prefixes 2 entry instances know
    When the cache meets the case "<case>"
    Then every entry instance has the cache hint for the prefix within 4 s

    Examples:
      | case                                       |
      | one entry instance sent the request        |
      | an entry instance connects late            |
      | the prefix is evicted and stored again     |
      | a request repeats it after a lost event    |
      | a request repeats it after an agent's start |

  Scenario: Two prompts that share their last whole block are evicted together
    Given a cache of 64 blocks whose prefixes 2 entry instances know
    When the cache serves two prompts that share one block and evicts it
    Then the cache hints of every entry instance are right within 12 s

  Scenario: Reports stay small in heavy eviction before many entry instances
    Given a cache of 64 blocks whose prefixes 24 entry instances know
    When the cache serves 20 new prefixes a second for 120 s
    Then the cache reports took less than 1024 bytes a second
    And the agent read the cache events at most 121 times

  Scenario Outline: Tables of the agent are bounded: <table>
    Given a cache of 200000 blocks whose prefixes 2 entry instances know
    When the cache overfills the table "<table>"
    Then the cache table "<table>" holds at most <bound> and counted "<counter>"

    Examples:
      | table          | bound | counter                |
      | prefixes       | 4096  | prefixes_dropped       |
      | held_blocks    | 65536 | held_blocks_dropped    |
      | removed_blocks | 16384 | removed_blocks_dropped |
      | pending        | 4096  | pending_dropped        |
      | watchers       | 1024  | watchers_rejected      |
