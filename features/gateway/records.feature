Feature: Copies of the store's tables
  An accepted change is in force in every process that the store or any peer reaches, and
  no copy goes back.

  @always_7
  Scenario Outline: A copy at version 10 with a=9, b=4 takes <change>
    Given a copy at version 10 with records a of version 9 and b of version 4
    When it takes <change>
    Then it is at version <version> with "<records>"

    Examples:
      | change                                   | version | records     |
      | changes after 10 up to 12: a=11          | 12      | a=11 b=4    |
      | changes after 10 up to 12: b removed 12  | 12      | a=9         |
      | changes after 11 up to 13: a=12          | 10      | a=9 b=4     |
      | changes after 8 up to 9: a=7             | 10      | a=9 b=4     |
      | changes after 8 up to 11: a=7 c=11       | 11      | a=9 b=4 c=11 |
      | a snapshot of 12: a=11                   | 12      | a=11        |
      | a snapshot of 7: a=7                     | 10      | a=9 b=4     |

  Scenario Outline: What a peer with version <base> is given
    Given a copy at version 10 with records a of version 9 and b of version 4
    When it takes changes after 10 up to 12: b removed 12
    Then a peer with version <base> is given "<given>"

    Examples:
      | base | given       |
      | 10   | b removed   |
      | 12   | nothing     |
      | 9    | a snapshot  |
      | -1   | a snapshot  |

  @always_7
  Scenario Outline: A table is followed when the store <trouble>
    Given a store with version 5 of a table
    When the store <trouble> and version 6 is written
    Then the copy has version 6 within <within> s

    Examples:
      | trouble                       | within |
      | works                         | 0.5    |
      | has lost its history          | 1.0    |
      | refuses three calls           | 1.5    |
      | does not answer, but a peer has it | 1.0 |

  @always_7
  Scenario: A peer that is behind is not asked
    Given a store with version 5 of a table
    When a peer reports version 4
    Then the peer is not asked for records

  Scenario Outline: Reports to <peers> peers of the own data centre and <others> of others
    Given entry instances with <peers> peers in their data centre and <others> elsewhere
    When 2 s pass
    Then each near peer got <near> reports at least and each other one <far> at least
    And at most <most> reports were sent

    Examples:
      | peers | others | near | far | most |
      | 2     | 4      | 9    | 9   | 70   |
      | 14    | 30     | 9    | 1   | 260  |

  Scenario Outline: An instance among <others> of its data centre <case>
    Given a store with version 5 of a table
    And <others> peers of its data centre that heard the store <age> s ago
    Then the instance follows the store itself: <reads>

    # Each reader of a data centre takes the configuration across a narrow link.
    Examples:
      | others | age | reads | case                             |
      | 1      | 0.1 | yes   | is one of the readers            |
      | 2      | 0.1 | no    | comes just after the readers     |
      | 9      | 0.1 | no    | takes the records from others    |
      | 9      | 3.0 | yes   | reads as its readers do not hear |

  @always_4
  Scenario Outline: A record that goes <after> s after the store's return keeps its endpoint
    Given an entry process that knows an endpoint and lost the store
    When the store returns and the endpoint's record goes <after> s later
    Then the endpoint is used until <until> s after the return, give or take 0.2 s

    Examples:
      | after | until |
      | 0.1   | 2.5   |
      | 1.3   | 2.5   |
      | 2.3   | 2.5   |
      | 3.0   | 3.0   |

  Scenario: An instance reads the store when its readers are not heard any more
    Given a store with version 5 of a table
    And 9 peers of its data centre that heard the store 0.1 s ago
    When 1.2 s pass without a report
    Then the instance follows the store itself: yes

  Scenario: An instance that takes the records from others learns that the store was away
    Given a store with version 5 of a table
    And its own last answer is 9 s old
    And 9 peers of its data centre that heard the store 4.0 s ago
    When it reports to its peers
    Then records that are missing may be written again soon
    When 9 peers heard the store again and 3 s pass
    Then records that are missing are gone

  Scenario Outline: Records of <size> bytes come whole from a peer
    Given a store with version 5 of a table
    When a record of <size> bytes is passed on by a peer
    Then the copy holds it, and <sent> bytes were sent at most

    Examples:
      | size   | sent  |
      | 100    | 200   |
      | 300000 | 30000 |

  Scenario: A record that was damaged on its way is not taken
    Given a store with version 5 of a table
    When a compressed record of a peer is damaged
    Then the copy still has version 5

  Scenario: The reports of peers add up, the newest of each counts, and old ones do not
    Given an endpoint with 2 calls of its own
    When peers report 3, 4, 5
    Then it has 14 calls at 10.0 s
    When peer-1 reports 0 at 10.5 s
    And peer-2 reports 7 at 11.0 s
    Then it has 12 calls at 11.2 s
    And it has 9 calls at 12.0 s
    And it has 2 calls at 13.0 s

  Scenario: Changes in quick succession come with one call
    Given a store with version 5 of a table
    When the store writes 5 versions within 0.05 s
    Then the copy has version 10 within 0.3 s after at most 3 calls
