Feature: Load of endpoints
  Load reports lag; work sent since then must count, old reports must lose weight, and
  a full data centre must not hold requests back while another has room.

  Scenario: Own work counts before the next report
    Given a router with endpoints "a, b" of capacity 20
    When the router learns the loads "a=0, b=6"
    And the router sends 14 requests without a prefix
    Then the router has between 9 and 11 requests in progress at "a"

  Scenario Outline: A report of high load from <age> s ago <effect>
    Given a router with endpoints "a, b" of capacity 20
    When the router learns the loads "a=12, b=0"
    And the router waits <age> s with reports of "b" only
    And the router sends 8 requests without a prefix
    Then the router has between <least> and <most> requests in progress at "a"

    Examples:
      | age | effect               | least | most |
      | 0   | keeps work away      | 0     | 0    |
      | 5   | has lost most weight | 1     | 4    |

  Scenario: The local data centre is used until it is full
    Given a router with endpoints "a, b" of capacity 4
    And a router with further endpoints "n" in the region and "f" in another region
    When the router sends 14 requests without a prefix
    Then the router has 8 requests at "a, b", then 4 at "n", then 2 at "f"

  Scenario: Work returns to the local data centre when it has room
    Given a router with endpoints "a, b" of capacity 4
    And a router with further endpoints "n" in the region and "f" in another region
    When the router sends 14 requests without a prefix
    And the router sees every request answered
    Then the router sends 6 requests to "a, b" only

  Scenario: Entry instances with late reports do not all choose the same endpoint
    Given 6 routers with endpoints "a, b, c, d, e, f, g, h" where "a" reported no load
    When the routers send 30 requests from reports of 1 s before
    Then the routers have 1 to 15 requests in progress at "a"

  Scenario: One report of a little room is not used up by every entry instance
    Given 6 routers with endpoints "a, b, c, d, e, f, g, h" where "a" reported no load
    When the routers learn that all are full, and then of 4 places at "a"
    Then the routers have 1 to 8 requests in progress at "a"

  Scenario Outline: At a load of <load> of 16 a request of priority <priority> <result>
    Given a router with endpoints "a, b" of capacity 16
    When the router learns the loads "a=<load>, b=<load>"
    Then the router gives a request of priority <priority> an endpoint: <result>

    Examples:
      | load | priority | result |
      | 15   | 5        | yes    |
      | 16   | 5        | no     |
      | 16   | 1        | yes    |
      | 17   | 1        | no     |

  Scenario: The table of endpoints is bounded
    Given a router with endpoints "a" of capacity 8
    When the router learns of 1100 further endpoints
    Then the router has at most 1024 endpoints and counted the 77 others
