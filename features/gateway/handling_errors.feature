Feature: An error in the handling of one request ends that request only
  A request that was read whole has one owner. An unexpected error in its handling ends
  it with an answer, is counted and logged, and disturbs no other request.

  @always_2
  Scenario Outline: A call that <situation> meets an error in <fault> on a route that <kind>
    Given a gateway with 2 endpoints and a route that <kind>
    When an error in <fault> meets a call that <situation>
    Then its client gets <end>, and the other one's gets <other>
    And the error is counted and logged
    And the log names the call
    And no call and no slot is in use

    Examples: before it is sent
      | kind           | situation         | fault                     | end | other |
      | may repeat     | is served         | the check of its prompt   | 503 | 200   |
      | runs once only | is served         | a route without services  | 503 | 200   |
      | runs once only | is served         | the head for its endpoint | 503 | 200   |
      | may repeat     | is not known      | the report of a refusal   | 503 | 200   |
      | may repeat     | meets no endpoint | the retry time            | 503 | 200   |
      | may repeat     | meets no endpoint | the report of its end     | 503 | 200   |

    Examples: after it was sent
      | kind                | situation | fault                         | end     | other |
      | runs once only      | is served | the head for its client       | 502     | 200   |
      | runs once only      | is served | the average of answer times   | 502     | 200   |
      | runs once only      | is served | the buffer of its answer      | 502     | 200   |
      | runs once only      | is served | the report of its end         | 200     | 200   |
      | streams once        | is served | the report of its end         | 200     | 200   |
      | streams once        | is served | the report of the first event | 502     | 200   |
      | runs once only      | breaks    | the report of its failure     | 502     | 200   |
      | streams and resumes | breaks    | the report of its failure     | a reset | 200   |

    Examples: in what is done for all calls
      | kind           | situation                              | fault                     | end | other |
      | may repeat     | stays without an answer                | the report of its failure | 502 | 504   |
      | runs once only | stays without an answer                | the report of its end     | 504 | 504   |
      | runs once only | is at an endpoint at the end of a stop | the report of its end     | 502 | 502   |

  @always_2
  Scenario Outline: Two calls wait at one endpoint and an error in <fault> meets one that <situation>
    Given one endpoint and a route with 8 s that <kind>
    When an error in <fault> meets a call that <situation>
    Then one of the two clients gets <end>, and the other one <other>
    And the error is counted and logged
    And no call and no slot is in use

    Examples: queues
      | kind           | situation                  | fault                       | end | other |
      | runs once only | waits for a slot           | the report of a wait        | 503 | 200   |
      | runs once only | waits for a slot           | the head for its endpoint   | 503 | 200   |
      | runs once only | waits beside a change      | the check of the copy's age | 503 | 200   |
      | runs once only | waits while endpoints come | the head for its endpoint   | 503 | 200   |

  @always_2
  Scenario: An error in the end of a call whose client left ends its work
    Given a gateway with 2 endpoints and a route that runs once only
    When an error in the report of its end meets a call that is left by its client
    Then no endpoint works for it, and the other one's client gets 200
    And the error is counted and logged
    And the log names the call
    And no call and no slot is in use

  @always_2
  Scenario Outline: An error in <fault> beside calls ends none of them
    Given a gateway with 2 endpoints and a route that <kind>
    When an error in <fault> meets a call that <situation>
    Then its client gets <end>, and the other one's gets <other>
    And the error is counted and logged

    Examples: errors that are no call's
      | kind           | situation                  | fault                         | end | other |
      | may repeat     | is served                  | the report of crashes         | 200 | 200   |
      | runs once only | waits while endpoints come | the report of a dead endpoint | 200 | 200   |

  @always_2
  Scenario: An error while a request is read is no fault of the request
    Given a gateway with 2 endpoints and a route that may repeat
    When an error in the head of its request meets a call that is served
    Then its client gets 503, and the other one's gets 200
    And the error is counted and logged

  Scenario Outline: An error while an answer is read, on a route that <kind>
    Given a gateway with 2 endpoints and a route that <kind>
    And an observer of the errors that Twisted logs
    When an error in the head of its answer meets a call that is served
    Then its client gets <end>, and the other one's gets 200
    And Twisted has logged the error

    Examples: routes
      | kind           | end |
      | may repeat     | 200 |
      | runs once only | 502 |

  @always_2
  Scenario Outline: An error at any call of a collaborator while calls are <situation>, <kind>
    Then each of two calls that are <situation> on a route that <kind> has its end

    Examples: situations
      | situation | kind                |
      | served    | may repeat          |
      | served    | runs once only      |
      | served    | streams and resumes |
      | served    | streams once        |
      | broken    | may repeat          |
      | broken    | runs once only      |
      | broken    | streams and resumes |
      | broken    | streams once        |
      | refused   | may repeat          |
      | silent    | may repeat          |
      | silent    | runs once only      |
      | silent    | streams and resumes |
      | stopped   | may repeat          |
      | stopped   | streams once        |
      | left      | runs once only      |
      | queued    | may repeat          |
      | queued    | runs once only      |
      | queued    | streams once        |
