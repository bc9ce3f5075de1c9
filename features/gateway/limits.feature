Feature: The limit that an endpoint names holds for all entry instances together
  An endpoint in need names the requests a second that it takes from all of them.

  @always_4
  Scenario Outline: <entries> entry instances have more calls than <limit> a second allow
    Given a replay of <entries> entry instances and endpoints that name <limit> a second
    When it is played for <duration> s with seed <seed>, the calls waiting
    Then in any 4 s no more requests arrive than the limit allows, plus 2
    And at least 0.9 of it is used

    Examples:
      | entries | limit | duration | seed |
      | 6       | 1.5   | 30       | 1    |
      | 6       | 12.0  | 20       | 2    |
      | 45      | 1.5   | 30       | 3    |
      | 45      | 20.0  | 15       | 4    |
      | 100     | 1.5   | 30       | 5    |
      | 100     | 6.0   | 20       | 6    |

  @always_4
  Scenario Outline: <entries> entry instances share a limit of <limit> a second and <fault>
    Given a replay of <entries> entry instances and endpoints that name <limit> a second
    When it is played for 20 s with seed <seed>, and <fault>
    Then in any 4 s no more requests arrive than the limit allows, plus 2
    And at least <share> of it is used

    # Instances are cut off for 8 s.
    Examples:
      | entries | limit | seed | fault                            | share |
      | 6       | 1.5   | 1    | the issuers of permits end       | 0.9   |
      | 6       | 12.0  | 2    | the issuers of permits end       | 0.9   |
      | 45      | 5.0   | 3    | the issuers of permits end       | 0.9   |
      | 6       | 1.5   | 4    | two issuers start again          | 0.9   |
      | 6       | 12.0  | 5    | two issuers start again          | 0.9   |
      | 6       | 1.5   | 6    | others join                      | 0.9   |
      | 45      | 5.0   | 7    | others join                      | 0.9   |
      | 6       | 12.0  | 8    | an issuer is cut off             | 0.9   |
      | 45      | 5.0   | 9    | an issuer is cut off             | 0.9   |
      | 6       | 1.5   | 10   | half of them are cut off         | 0.9   |
      | 6       | 12.0  | 11   | half of them are cut off         | 0.9   |
      | 6       | 12.0  | 12   | an issuer stands still for 3.2 s | 0.9   |
      | 45      | 5.0   | 13   | an issuer stands still for 3.2 s | 0.9   |
      | 6       | 12.0  | 14   | answers are late for 3 s         | 0.9   |

  @always_4
  Scenario Outline: <entries> entry instances resume streams at endpoints with a limit
    Given a replay of <entries> entry instances whose streams break off at others
    When it is played for 15 s with seed <seed>, the calls waiting
    Then in any 4 s no more requests arrive than the limit allows, plus 2
    And streams were resumed at endpoints with a limit

    Examples:
      | entries | seed |
      | 6       | 1    |
      | 45      | 2    |

  Scenario Outline: A limit of 12.0 a second becomes <second>
    Given a replay of 6 entry instances and endpoints that name 12.0 a second
    When it is played for 5 s with seed 1, the calls waiting
    And the endpoints name <second> instead
    Then <what>

    Examples:
      | second     | what                                                     |
      | 3.0        | after 1.0 s in any 4 s no more than it allows, plus 2    |
      | 30.0       | after 1.0 s at least 0.9 of it is used                   |
      | no limit   | after 1.0 s more than 40 requests a second arrive        |
      | many       | after 0.0 s in any 4 s no more than 12.0 allows, plus 2  |

  Scenario Outline: An endpoint names "<value>" as its limit
    Given a gateway with 2 endpoints and a route that may repeat
    When an endpoint gives a whole answer with "<value>"
    Then the limit in force is <limit> and <rejected> malformed headers are counted

    Examples:
      | value                              | limit | rejected |
      | Server-Limit: 1.5                  | 1.5   | 0        |
      | Server-Limit: 3; Server-Limit: 2   | 2     | 0        |
      | Server-Limit: x; Server-Limit: 2   | 2     | 1        |
      | Server-Limit: 0                    | 0.1   | 0        |
      | Server-Limit: 0.0001               | 0.1   | 0        |
      | Server-Limit: 1000000000000        | none  | 0        |
      | Server-Limit: -1                   | none  | 1        |
      | Server-Limit: many                 | none  | 1        |
      | Server-Limit: nan                  | none  | 1        |
      | Server-Limit: inf                  | none  | 1        |
      | Server-Limit: 1e999                | none  | 1        |
      | Server-Limit:                      | none  | 1        |

  Scenario Outline: An endpoint has named 1.5 a second, and then <event>
    Given a gateway with 1 endpoints and a route that may repeat
    And the endpoint started at 3
    When two calls are answered, the second with "Server-Limit: 1.5"
    And <event>
    Then the limit in force is <limit> and <rejected> malformed headers are counted

    Examples:
      | event                                               | limit | rejected |
      | a later call is answered with "X-Other: 1"          | none  | 0        |
      | a later call is answered with "Server-Limit: 2"     | 2     | 0        |
      | a later call is answered with "Server-Limit: x"     | 1.5   | 1        |
      | a later call is answered with "Server-Limit: -2"    | 1.5   | 1        |
      | a later call is refused with "X-Other: 1"           | none  | 0        |
      | a later call is answered by another endpoint        | 1.5   | 0        |
      | its row goes and comes back                         | 1.5   | 0        |
      | its row tells no start                              | 1.5   | 0        |
      | its row tells of a new run                          | none  | 0        |
      | its row tells late of the run that named it         | 1.5   | 0        |
      | a peer says 1.0 s later that it names 4.0           | 1.5   | 0        |
      | a peer says 0.0 s later that it names 4.0           | 4     | 0        |
      | a peer says 0.0 s later that it names none          | none  | 0        |
      | a peer says nan s later that it names 4.0           | 1.5   | 0        |
      | a peer says 0.0 s later that it names nan           | 1.5   | 0        |
      | a peer says 0.0 s later that it names -1.0          | 1.5   | 0        |

  Scenario: A call that was sent before a limit was named does not end it
    Given a gateway with 1 endpoints and a route that may repeat
    When two calls are answered, the first with "Server-Limit: 1.5"
    Then the limit in force is 1.5 and 0 malformed headers are counted

  Scenario: A call is dialled as its endpoint names a limit
    Given a gateway with 1 endpoints and a route that streams once
    When a call streams from an endpoint and another is dialled
    And the endpoint's stream begins with "Server-Limit: 0.2"
    Then the other call is answered 503 at once

  Scenario Outline: The only endpoint takes <limit> a second
    Given a gateway with <count> endpoints and a route that may repeat
    When an endpoint gives a whole answer with "Server-Limit: <limit>"
    Then a further call <outcome>

    # A call waits half of its 2 s at most. The issued part of 0.5 a second is one
    # in 2.1 s.
    Examples:
      | count | limit | outcome                             |
      | 1     | 2     | is sent within 0.7 s                |
      | 1     | 0.5   | is told to come back after 2.1 s    |
      | 1     | 0     | is told to come back after 10.5 s   |
      | 2     | 0.5   | is sent                             |

  Scenario: A probe of an endpoint with a limit sends nothing
    Given a gateway with 1 endpoints and a route that may repeat
    When an endpoint gives a whole answer with "Server-Limit: 1.5"
    And it is probed
    Then it has got no further request

  Scenario Outline: Permits that <fault> are not used
    Given an instance that follows the issuer "b" of an endpoint with a limit
    When it is granted <count> permits by "<peer>", <delay> s late, one in <interval> s
    Then it may send <sent> calls

    Examples:
      | fault                  | peer | count | delay | interval | sent |
      | come in time           | b    | 2     | 0.0   | 1.0      | 2    |
      | come somewhat late     | b    | 2     | 0.05  | 1.0      | 2    |
      | come after a freeze    | b    | 2     | 3.0   | 1.0      | 0    |
      | come from another one  | c    | 2     | 0.0   | 1.0      | 0    |
      | are negative           | b    | -1    | 0.0   | 1.0      | 0    |
      | are too many           | b    | 33    | 0.0   | 1.0      | 0    |
      | have no valid interval | b    | 2     | 0.0   | nan      | 0    |
      | have an endless one    | b    | 2     | 0.0   | inf      | 0    |
      | have none              | b    | 2     | 0.0   | 0.0      | 0    |

  Scenario Outline: The issuer of permits has <instances>
    Given an issuer of a limit of 10.0 a second with <connected> connected followers and <silent> silent ones
    When all of them want permits for 8 s
    Then it issues <part> of 9.5 a second

    Examples:
      | instances                     | connected | silent | part |
      | every instance connected      | 4         | 0      | 1.0  |
      | no connection to half of them | 2         | 2      | 0.5  |

  Scenario Outline: An entry instance <fate>
    Given an entry process that is connected to "10.0.0.9" and knows "10.0.0.8"
    When <fate>
    Then <members> instances are connected and <silent> may send calls unseen

    Examples:
      | fate                                        | members | silent |
      | "10.0.0.8" is silent for 20.0 s             | 2       | 1      |
      | "10.0.0.8" is silent for 31.0 s             | 2       | 0      |
      | "10.0.0.8" has ended                        | 2       | 0      |

  Scenario: An entry instance that connects is told the limits
    Given an entry process that knows an endpoint with a limit of 1.5
    When an entry instance says hello
    Then it is told that the limit is 1.5
