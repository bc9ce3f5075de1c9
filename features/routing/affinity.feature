Feature: Prefix affinity
  Requests that share a prefix must meet the cache that holds it, without overloading
  the endpoint and without trusting cache events that are late or incomplete.

  Scenario: Requests with one prefix go to at most two endpoints
    Given a router with endpoints "a, b, c, d, e, f" of capacity 40
    When the router sends 20 requests with the prefix "p"
    Then the router has used at most 2 endpoints

  Scenario: A restarted entry sends a prefix to the same two endpoints
    Given a router with endpoints "a, b, c, d, e, f" of capacity 40
    When the router sends 20 requests with the prefix "p"
    And the router is replaced by a new one
    And the router sends 20 requests with the prefix "p"
    Then the router has used at most 2 endpoints

  Scenario Outline: A cached prefix attracts requests until <event>
    Given a router with endpoints "a, b, c, d, e, f" of capacity 40
    When the router learns that "<holder>" cached the prefix "p"
    And the router learns of the cache event "<event>" at "<holder>"
    Then the router prefers "<holder>" for the prefix "p": <preferred>

    Examples:
      | event                          | holder      | preferred |
      | nothing more                   | a far one   | yes       |
      | the prefix is evicted          | a far one   | no        |
      | an event is missing            | a far one   | no        |
      | the cache is cleared           | a far one   | no        |
      | the engine restarts its count  | a far one   | no        |
      | an eviction arrives twice late | a far one   | yes       |
      | the endpoint is lost           | a far one   | no        |

  Scenario: A prefix in heavy demand spreads over further endpoints
    Given a router with endpoints "a, b, c, d" of capacity 10
    When the router sends 30 requests with the prefix "p"
    Then the router has no endpoint with more than 10 requests in progress

  Scenario: A cached prefix attracts no requests to a much more loaded endpoint
    Given a router with endpoints "a, b, c, d, e, f" of capacity 10
    When the router learns that "a far one" cached the prefix "p"
    And the router learns the load 9 of that endpoint and 2 of the others
    Then the router prefers "a far one" for the prefix "p": no

  Scenario Outline: With <waiting> waiting the free place at "a" goes to <winner>
    Given a router with endpoints "a, b" of capacity 8
    When the router learns that "a" holds the prefix "p" and the loads "a=<load>, b=8"
    Then the router starts <winner> of the waiting prefixes "<waiting>"

    Examples:
      | waiting | load | winner |
      | x, p    | 7    | p      |
      | p, x    | 7    | p      |
      | x       | 7    | x      |
      | x, y    | 6    | x      |
      | x, y    | 7    | none   |
      | x, p    | 8    | none   |

  Scenario: An endpoint taken out of the row moves only its own prefixes
    Given a router with endpoints "a, b, c, d, e, f" of capacity 1000
    When the router places 300 prefixes before and after the row no longer names endpoint "a"
    Then the router moved no prefix that endpoint "a" did not have

  Scenario: Cache hints are bounded
    Given a router with endpoints "a" of capacity 8
    When the router learns of 5000 cached prefixes at "a"
    Then the router has at most 4096 hints and counted the 904 others
