Feature: What endpoints say of themselves in their answers decides where calls go
  An endpoint that leaves or wants no calls says so in an answer, before its row does.

  @always_4
  Scenario Outline: An endpoint says in <answer> that it leaves
    Given a gateway with <count> endpoints and a route that <kind>
    When an endpoint gives <answer> with "Server-Leaving: 1"
    Then no further call is sent to it in 20 s and each <outcome>

    Examples:
      | count | kind           | answer                | outcome                      |
      | 2     | may repeat     | a whole answer        | is sent to another           |
      | 2     | may repeat     | a failure             | is sent to another           |
      | 2     | may repeat     | a refusal             | is sent to another           |
      | 2     | may repeat     | another call's answer | is sent to another           |
      | 2     | streams once   | a stream              | is sent to another           |
      | 2     | runs once only | a whole answer        | is sent to another           |
      | 1     | may repeat     | a whole answer        | is answered 503 at once      |
      | 1     | runs once only | a refusal             | is answered 503 at once      |

  Scenario Outline: A call that is <phase> as its endpoint says that it leaves
    Given a gateway with <count> endpoints and a route that streams once
    When a call streams from an endpoint and another is <phase>
    And the endpoint's stream begins with "Server-Leaving: 1"
    Then the other call <outcome>

    Examples:
      | count | phase   | outcome                 |
      | 1     | waiting | is answered 503 at once |
      | 2     | waiting | waits                   |
      | 1     | dialled | is answered 503 at once |

  Scenario: Connections to an endpoint that leaves are closed
    Given a gateway with 1 endpoints and a route that may repeat
    When two calls are answered, the second with "Server-Leaving: 1"
    Then no connection to the endpoint stays open

  Scenario: An endpoint says to one entry instance that it leaves
    Given a gateway with 2 endpoints and a route that may repeat
    When an endpoint gives a whole answer with "Server-Leaving: 1"
    Then the instance tells the others once that it leaves
    And one that is told sends its next call to another endpoint

  Scenario Outline: The row of an endpoint that has said that it leaves <change>
    Given a gateway with 1 endpoints and a route that may repeat
    When an endpoint gives a whole answer with "Server-Leaving: 1"
    And its row <change>
    Then a further call <outcome>

    Examples:
      | change                  | outcome                 |
      | is written again        | is answered 503 at once |
      | goes and comes back     | is answered 503 at once |
      | tells of a new run      | is sent                 |
      | names another endpoint  | is sent                 |

  @always_4
  Scenario Outline: The row of an endpoint says that it leaves, and then <change>
    Given a gateway with 1 endpoints and a route that may repeat
    And the endpoint started at 3
    When its row says that it leaves
    And its row <change>
    Then a further call <outcome>

    # A heartbeat whose answer the store has lost may be written seconds later.
    Examples:
      | change                  | outcome                 |
      | is written again        | is answered 503 at once |
      | goes and comes back     | is answered 503 at once |
      | tells no start          | is answered 503 at once |
      | tells of a new run      | is sent                 |
      | names another endpoint  | is sent                 |

  Scenario Outline: An answer of another endpoint at its address names <header>
    Given a gateway with 1 endpoints and a route that may repeat
    When another endpoint at its address answers 421 with "<header>"
    And the gateway runs for 2.0 s
    Then a further call is sent

    # An endpoint that is not what its record says is left alone for 1 s at first.
    Examples:
      | header            |
      | Server-Leaving: 1 |

  Scenario Outline: Another entry instance says that an endpoint leaves, <about>
    Given a gateway with <count> endpoints and a route that may repeat
    When a peer says <age> s after it that the endpoint "x" started at <started> leaves
    Then the next call is sent to <host>

    Examples:
      | about                     | count | age  | started | host     |
      | truly                     | 2     | 0.1  | 0       | 10.0.0.2 |
      | and there is no other     | 1     | 0.1  | 0       | 10.0.0.1 |
      | about an earlier run      | 2     | 0.1  | 7       | 10.0.0.1 |
      | but long ago              | 2     | 10.0 | 0       | 10.0.0.1 |
      | but will only             | 2     | -5.0 | 0       | 10.0.0.1 |
      | with no number            | 2     | nan  | 0       | 10.0.0.1 |

  Scenario: The word of another entry instance ends by itself
    Given a gateway with 2 endpoints and a route that may repeat
    When a peer says 0.0 s after it that the endpoint "x" started at 0 leaves
    And the gateway runs for 10.1 s
    Then the next call is sent to 10.0.0.1

  Scenario Outline: An endpoint refuses a call with Retry-After <value>
    Given a gateway with 2 endpoints and a route that may repeat
    When an endpoint refuses a call with Retry-After "<value>"
    Then it gets no calls for <at_least> s and gets some after <at_most> s
    And <rejected> malformed headers are counted

    Examples:
      | value                         | at_least | at_most | rejected |
      | 2                             | 2.0      | 2.6     | 0        |
      | 0.75                          | 0.75     | 1.1     | 0        |
      | 0                             | 0.0      | 0.4     | 0        |
      | -3                            | 0.0      | 0.4     | 1        |
      | soon                          | 0.0      | 0.4     | 1        |
      | nan                           | 0.0      | 0.4     | 1        |
      | inf                           | 0.0      | 0.4     | 1        |
      | Wed, 21 Oct 2026 07:28:00 GMT | 0.0      | 0.4     | 1        |
      | 1;2                           | 2.0      | 2.6     | 0        |
      | soon;2                        | 2.0      | 2.6     | 1        |
      | 3600                          | 60.0     | 61.2    | 0        |

  Scenario Outline: The only endpoint wants no calls for <busy> s
    Given a gateway with 1 endpoints and a route that may repeat
    When an endpoint refuses a call with Retry-After "<busy>"
    Then a further call <outcome>

    # A call waits half of its 2 s at most.
    Examples:
      | busy | outcome                 |
      | 0.5  | is sent within 1.0 s    |
      | 5    | is answered 503 at once |

  Scenario: A call is dialled as its endpoint names a time
    Given a gateway with 1 endpoints and a route that streams once
    When a call streams from an endpoint and another is dialled
    And the endpoint refuses the first call with Retry-After "5"
    Then the other call is answered 503 at once

  Scenario Outline: An endpoint names <first> s and then <second> s
    Given a gateway with 1 endpoints and a route that runs once only
    When two calls are refused with Retry-After "<first>" and then "<second>"
    Then it gets no calls for 3.0 s and gets some after 3.7 s

    Examples:
      | first | second |
      | 3     | 0.5    |
      | 0.5   | 3      |

  Scenario: Entry instances come back to a busy endpoint at different times
    Given 20 entry instances to which an endpoint has named 3.0 s
    Then they come back between 3.0 and 3.6 s and not within 0.2 s

  Scenario Outline: An endpoint answers with "<header>"
    Given a gateway with 1 endpoints and a route that may repeat
    When an endpoint gives a whole answer with "<header>"
    Then a further call <outcome>
    And <rejected> malformed headers are counted

    Examples:
      | header                                  | outcome                 | rejected |
      | Server-Leaving: 0                       | is sent                 | 0        |
      | Server-Leaving: yes                     | is sent                 | 1        |
      | Server-Leaving:                         | is sent                 | 1        |
      | Server-Leaving: 0; Server-Leaving: 1    | is answered 503 at once | 0        |
      | Server-Leaving: 1; Server-Leaving: x    | is answered 503 at once | 1        |
      | Retry-After: 5                          | is sent                 | 0        |

  Scenario Outline: An endpoint is not what its record says, and <change>
    Given a gateway with 1 endpoints and a route that may repeat
    When its endpoint answers 421 to every call for 20 s
    And <change>
    Then it got at most 6 calls and <more> at once

    # Each entry instance finds this out by itself: 1, 2, 4 and 8 s in between.
    Examples:
      | change                       | more     |
      | its record stays as it is    | no other |
      | its record tells new weights | another  |

  @always_4
  Scenario Outline: The record of an endpoint goes just after <outage>
    Given an entry process with an endpoint
    When <outage> for 5 s and it has gone on for 1 s
    And the record of the endpoint goes
    Then the endpoint then <outcome>

    # Records expire while the store is away, and are written again.
    Examples:
      | outage                                             | outcome              |
      | the store was away from all instances              | is kept for a while  |
      | the store was away from this instance only         | is not used any more |
      | this instance was cut off from all others          | is not used any more |
      | the store and all others were away                 | is kept for a while  |
      | nothing was away                                   | is not used any more |
