Feature: The adapter to the users' platform
  Names and formats are translated once; what another writer left behind, or what is
  damaged, names nothing to use and loses nothing else.

  Scenario Outline: A server's row with <row>
    Given rows of servers of which one has <row>
    Then it is <use> and the other row is used

    Examples:
      | row                       | use       |
      | nothing unusual           | used      |
      | the state draining        | leaving   |
      | a start that is a text    | not used  |
      | a start that is true      | not used  |
      | a start with a fraction   | not used  |
      | an unknown state          | not used  |
      | an unknown service        | not used  |
      | no address                | not used  |
      | a port that is no number  | not used  |
      | a zone of another type    | not used  |
      | bytes that cannot be read | not used  |
      | a list in place of fields | not used  |
      | fields that are unknown   | used      |

  Scenario Outline: What may be repeated follows from the kind: <route_type>, resumable <resumable>
    Given a configuration with a route of type <route_type> that is resumable: <resumable>
    Then its calls repeat "<repeat>"

    Examples:
      | route_type     | resumable | repeat    |
      | idempotent     | no        | free      |
      | non_idempotent | no        | never     |
      | non_idempotent | yes       | never     |
      | streaming      | no        | never     |
      | streaming      | yes       | resumable |
      | something new  | yes       | never     |

  Scenario Outline: A route and a client account that may be served in <listed>
    Given a configuration whose route and client account may be served in <listed>
    Then their calls may be served in <allowed>

    Examples:
      | listed      | allowed |
      | null        | any     |
      | []          | any     |
      | ["r1","r2"] | r1 r2   |
      | "r1"        | unknown |
      | [1]         | unknown |

  Scenario: Rows of evacuations name data centres, whatever their value
    Given rows of evacuations of "a" and, with a value that cannot be read, of "b"
    Then the evacuated data centres are "a, b"

  Scenario Outline: A server in the data centre "<zone>"
    Given a row of a server in the data centre "<zone>" while only "a" has a region
    Then its region is "<region>"

    Examples:
      | zone | region |
      | a    | r1     |
      | b    | none   |

  @always_7
  Scenario: A configuration that cannot be read changes nothing
    Given a configuration without services
    Then it is rejected with an error that names op/config

  Scenario Outline: An answer of the store with status <status> to a call for changes
    Given a store that answers <status> to a call for changes
    Then the call ends as <ends>

    Examples:
      | status | ends         |
      | 200    | changes      |
      | 410    | history lost |
      | 429    | unavailable  |
      | 503    | unavailable  |
      | 403    | refused      |
      | 500    | refused      |

  Scenario Outline: A connection to <what> has to open in <time_s> s
    When a call is sent to <what>
    Then its connection has to open in <time_s> s

    # After a cut the store has to be found soon; an origin is asked over full links.
    Examples:
      | what      | time_s |
      | the store | 0.2    |
      | an origin | 1.0    |

  Scenario Outline: Idle agents lock other agents out of <what>: <kept>
    When a call is sent to <what>
    And it is answered
    Then its connection is kept for the next call: <kept>

    Examples:
      | what      | kept |
      | the store | yes  |
      | an origin | no   |

  Scenario Outline: A connection to the store that <fault>
    Given a store whose connection <fault>
    Then the call ends as <ends>

    Examples:
      | fault                     | ends        |
      | cannot be opened          | unavailable |
      | is reset                  | answer lost |
      | goes silent               | answer lost |
      | gives an answer cut short | answer lost |
      | gives no JSON             | answer lost |

  Scenario: A signal for changed settings ends a process that is starting
    When the program of the platform loads its modules
    Then a signal for changed settings does not end it

  Scenario Outline: Settings with <fault>
    Given settings of an <role> with <fault>
    Then reading them <outcome>

    Examples:
      | role  | fault                  | outcome                                     |
      | entry | nothing wrong          | succeeds                                    |
      | agent | nothing wrong          | succeeds                                    |
      | entry | an unknown field       | succeeds                                    |
      | entry | no front address       | names listen.front                          |
      | entry | a port that is no number | names listen.ready                        |
      | entry | a negative ratio       | names bounds.retry_ratio                    |
      | entry | no ports               | names ports                                 |
      | agent | no metrics port        | names metrics_port                          |
      | entry | no name and no grace   | names name, bounds.grace_s                  |
      | agent | no engine              | names engine.service, engine.address        |
      | agent | a text as link         | names link_mbps                             |

  Scenario Outline: The command that checks settings takes the platform's format: <fault>
    Given settings of an entry with <fault>
    When the file is checked from the command line
    Then the exit code is <code> and the output names "<named>"

    Examples:
      | fault                  | code | named            |
      | nothing wrong          | 0    | valid            |
      | a negative ratio       | 2    | bounds.retry_ratio |
      | no name and no grace   | 2    | bounds.grace_s   |

  Scenario: The template in deploy gives settings that both roles take
    Given the template in deploy filled for an edge and a side machine
    Then both roles take their settings

  Scenario: No module outside the adapter knows the platform's names
    Then no source file outside the adapter holds a name of the platform's wire

  Scenario Outline: The clock of a process stops while its machine is suspended, on a system with <clocks>
    Given a machine with <clocks> that was suspended for 5.0 s
    Then the clock of a process has counted <counted> s

    Examples:
      | clocks                          | counted |
      | a clock that counts suspension  | 5.0     |
      | a monotonic clock only          | 0.0     |
