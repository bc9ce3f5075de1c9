Feature: Loading of weights that an origin names
  No engine serves partial or mixed weights, and a named version is in force in time
  without all engines loading at once.

  @always_1
  Scenario Outline: The agent of an engine that <state> is told to <action>
    Given an agent whose engine should serve version 2 within 8 s
    When the engine <state>
    Then after <after> s the agent is told to <action>

    Examples:
      | state                                        | after | action  |
      | serves version 1 and pieces are missing      | 6.0   | wait    |
      | serves version 1 and all pieces are held     | 6.0   | stage   |
      | serves version 1 and rot was found in staging | 6.0  | stage   |
      | serves version 1 and the pieces are staged   | 4.0   | wait    |
      | serves version 1 and the pieces are staged   | 7.0   | load    |
      | serves nothing and the pieces are staged     | 0.5   | load    |
      | is busy with an order                        | 7.0   | wait    |
      | serves version 2                             | 7.0   | wait    |
      | is unknown                                   | 7.0   | wait    |
      | restarted after the pieces were staged       | 7.0   | stage   |
      | refused the order just now                   | 7.0   | wait    |

  Scenario Outline: Copies leave a part of the link to an engine that <state>, <after> s after a naming: <part>
    Given an agent whose engine should serve version 2 within 8 s
    When the engine <state>
    Then after <after> s its calls need a part of the link: <part>

    Examples:
      | state                                       | after | part |
      | serves version 1 and pieces are missing     | 7.9   | yes  |
      | serves version 1 and pieces are missing     | 8.1   | no   |
      | serves version 2                            | 60.0  | yes  |
      | serves nothing and the pieces are staged    | 0.5   | no   |
      | is unknown                                  | 9.0   | yes  |

  Scenario: An agent of an empty engine copies at the rate that leaves room for calls
    Given an agent that starts
    When its engine reports version 0 it may send 950000 bytes/s
    And its engine reports version 2 it may send 800000 bytes/s

  Scenario: Engines load one after the other, each in time
    Given 12 engines that should serve version 2 within 8 s
    Then they load between 5.0 and 7.0 s, and no 3 of them within 0.2 s
    And every agent computes the same order

  Scenario Outline: A version named while the one before <state> is <order>
    Then a copy that <state> is <order>

    Examples:
      | state                        | order    |
      | has just begun               | dropped  |
      | is well under way            | finished |
      | is staged and waits its turn | finished |
      | is served                    | dropped  |

  @always_1
  Scenario Outline: An agent stages pieces at an engine where <trouble>
    Given an agent with a complete copy of 4 pieces
    When it stages them at an engine where <trouble>
    Then the engine <outcome>

    Examples:
      | trouble                              | outcome                          |
      | nothing lies                         | holds all pieces and is ready    |
      | some pieces lie already              | holds all pieces and is ready    |
      | a piece of the older version lies    | holds all pieces and is ready    |
      | a piece rots as it is written        | is not told to load              |
      | the second write has no answer       | is not told to load              |

  Scenario Outline: An agent hears of weights <way>
    Given an agent that starts
    When <way> names version 3
    Then the agent wants version 3
    And the agent reads the store: <reads>

    Examples:
      | way               | reads |
      | an entry instance | no    |
      | the store         | yes   |

  @always_1
  Scenario Outline: An engine whose agent hears of a version late loads it in its turn: <case>
    Given an agent that starts
    And an entry instance that reads version 2 at 120 s
    When the agent gets notices <notices>
    Then the turn of its engine to load version 2 comes at <turn> s

    # The first turn comes 0.64 of 8 s after the naming.
    Examples:
      | case                                   | notices                                          | turn   |
      | a notice with the age                  | with the age at 121                              | 125.12 |
      | an entry instance has just restarted   | without age at 121, with the age at 121.5        | 125.12 |
      | a later notice looks younger           | with the age at 121, without age at 121.5        | 125.12 |
      | a notice that waited in a socket       | with the age made at 120.5 at 123, with the age at 123.5 | 125.12 |
      | a notice that looks older is later     | with the age at 121, with the age made at 121.2 at 125 | 125.12 |
      | no entry instance knows the age        | without age at 121                               | 126.12 |
      | a notice that is malformed             | with a malformed age at 121                      | 126.12 |

  Scenario: An agent that reads the store late loads a version after it is forbidden
    Given an agent that starts
    When the agent reads version 2 in the store at 124.0 s, last without it at 120.0 s
    Then the turn of its engine to load version 2 comes at 125.12 s

  # One agent asked 43 times in 0.35 s while the origin broke its connections.
  Scenario: An agent floods an origin that fails with requests for the newest version
    Given an agent that knows of no version, and an origin that fails at once
    When the agent gets a notice without versions every 0.01 s for 6 s
    Then no two requests to the origin are less than 0.14 s apart
    And the delay between two requests varies and does not exceed 1.2 s
