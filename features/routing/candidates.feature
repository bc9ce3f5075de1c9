Feature: Endpoints that may get a request
  Work at an endpoint that does not hold the accepted version, is not granted it or is
  leaving would be refused there, or answered from the wrong weights.

  Scenario Outline: No work goes to an endpoint that <fault>
    Given a router with endpoints "a, b, c" of capacity 8
    When the router learns that endpoint "a" <fault>
    Then the router sends 40 requests to "b, c" only

    Examples:
      | fault                             |
      | holds an older version            |
      | holds an older base of an adapter |
      | is starting                       |
      | announces that it leaves          |
      | refuses work because it leaves    |
      | refuses work because it is busy   |
      | lost its connection               |
      | has sent no report for 10 s       |

  @always_5
  Scenario Outline: No work goes to an endpoint that <change> while <fault>
    Given a router with endpoints "a, b, c" of capacity 8
    When the router learns that endpoint "a" <change>
    And the router meets the fault "<fault>"
    Then the router sends 40 requests to "b, c" only

    Examples:
      | change                          | fault                                   |
      | is past its leaving time        | nothing fails                           |
      | is past its leaving time        | the table service is down               |
      | is past its leaving time        | the entry was paused                    |
      | is past its leaving time        | a partition cuts off other data centres |
      | is past its leaving time        | the endpoint is killed and replaced     |
      | is no longer named by the row   | nothing fails                           |
      | is no longer named by the row   | an older version arrives late           |
      | is no longer named by the row   | the endpoint is killed and replaced     |
      | is no longer in the row's half  | two operators race                      |
      | is no longer in the row's half  | the entry was paused                    |

  @always_5
  Scenario: A leaving endpoint gets work until its leaving time
    Given a router with endpoints "a, b, c" of capacity 8
    When the router learns that endpoint "a" will leave in 5 s
    Then the router sends 40 requests to "a, b, c" only

  Scenario: Endpoints that are all silent are still used
    Given a router with endpoints "a, b" of capacity 8
    When the router has heard of no endpoint for 60 s
    Then the router sends 4 requests to "a, b" only

  Scenario Outline: A request without an endpoint is told why: <case>
    Given a router with endpoints "a, b" of capacity 1
    When the router is asked for an endpoint in the case "<case>"
    Then the router answers that the request cannot run because of "<reason>"

    Examples:
      | case                        | reason      |
      | row that no version has     | unknown_row |
      | client without a limit      | not_granted |
      | no report has arrived       | not_ready   |
      | every endpoint was tried    | all_tried   |
      | every endpoint is at its capacity | full  |

  Scenario Outline: While a new version is copied, requests go to the old one: <case>
    Given a router with endpoints "a, b, c" of capacity 8
    When the endpoints of a changed row report "<case>"
    Then the router sends 6 requests for the model to "<endpoints>" only

    Examples:
      | case                               | endpoints |
      | all hold the old version           | a, b, c   |
      | one holds the new version          | a         |
      | the only new one is at capacity    | b, c      |

  Scenario Outline: A stream broken during a roll-out is sent to other weights: <case>
    Guards against attempts and ejections spent on endpoints that have to refuse it.
    Given a router with endpoints "a, b, c" of capacity 8
    When "a" breaks a stream of the old version while "<old>" holds it and "<new>" the new
    Then the entry instance <result>

    Examples:
      | case                          | old  | new | result                     |
      | another holds its version     | b    | c   | resumes the stream at "b"  |
      | no other one holds its version | none | b, c | cannot resume the stream   |
