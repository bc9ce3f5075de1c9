Feature: Limits of clients and halves over all entry instances
  A client must get its limit wherever its traffic arrives, not several times it, and
  no fault of an entry instance may block it or give it more than one limit.

  Scenario Outline: A large client gets its limit once while <fault>
    Given 6 entry instances that share a limit of 60/s of the client "large"
    When the client "large" sends 120/s for 20 s while <fault>
    Then the client "large" was granted between <least>% and <most>% of its limit

    Examples:
      | fault                                         | least | most |
      | nothing fails                                 | 95    | 105  |
      | its traffic moves every 3 s                   | 92    | 105  |
      | it uses one entry instance                    | 93    | 105  |
      | its entry instance restarts every 2 s         | 85    | 108  |
      | an entry instance is killed and leaves the list | 90  | 105  |
      | an entry instance joins that no list names    | 95    | 110  |
      | a third of the reports is lost                | 93    | 108  |
      | no report arrives                             | 90    | 115  |
      | its entry instances are split by a partition  | 90    | 110  |
      | its traffic moves during a partition          | 45    | 105  |
      | an entry instance is paused for 8 s           | 75    | 108  |

  Scenario Outline: No client is blocked by an entry instance that <fault>
    Given 6 entry instances that share a limit of 60/s of the client "large"
    When the client "large" sends 5/s for 10 s while <fault>
    Then the client "large" had at most <rejected> requests rejected

    Examples:
      | fault                                        | rejected |
      | it uses one entry instance                   | 0        |
      | its entry instance restarts every 2 s        | 0        |
      | no report arrives                            | 0        |
      | its entry instances are split by a partition | 0        |

  Scenario: One client over its limit takes nothing from another
    Given 6 entry instances that share a limit of 60/s of the client "large"
    And a limit of 10/s for every other client
    When the clients "large, small" send 600/s and 8/s for 10 s
    Then the client "small" had at most 3 requests rejected

  Scenario Outline: A half has one limit over its own entry instances while <fault>
    Given 6 entry instances that share a limit of 60/s of the client "large"
    And a limit of 20/s for the half "west" of the first 3 entry instances
    When the client "large" sends 54/s for 20 s while <fault>
    Then the client "large" was granted between 68% and 83% of its limit

    Examples:
      | fault                                        |
      | nothing fails                                |
      | its entry instances are split by a partition |

  Scenario Outline: A request that no limit covers is rejected: <case>
    Given 6 entry instances that share a limit of 60/s of the client "large"
    When one request arrives in the case "<case>"
    Then the limits reject it because of "<reason>"

    Examples:
      | case                                | reason      |
      | client without a limit              | not_granted |
      | row that the table does not name    | not_granted |
      | client that poses as a half         | not_granted |
      | limit of 0                          | requests    |
      | entry instance without a list       | starting    |

  Scenario: An accepted change of a limit is in force at once and an older one ignored
    Given 6 entry instances that share a limit of 60/s of the client "large"
    When the limit changes to 30/s and an older version arrives
    And the client "large" sends 120/s for 20 s while nothing fails
    Then the client "large" was granted between 47% and 53% of its limit

  Scenario: Generated tokens are charged and their debt is paid before more work
    Given an entry instance with a limit of 100 tokens/s of the client "large"
    When a request of the client "large" generates 500 tokens
    Then the limits reject its requests for 5 s

  Scenario: A client that waits as it is told is admitted
    Given 6 entry instances that share a limit of 60/s of the client "large"
    When the client "large" repeats each rejected request after the time it is told
    Then the client "large" needs at most 2 repetitions of a request on average

  Scenario Outline: The tables of limits are bounded: <table>
    Given 6 entry instances that share a limit of 60/s of the client "large"
    And a limit of 10/s for every other client
    When one entry instance meets <count> <table>
    Then it keeps at most <most> of them and counts the others

    Examples:
      | table                | count | most |
      | active clients       | 5000  | 4096 |
      | entry instances      | 600   | 512  |
      | keys in one report   | 200   | 64   |
