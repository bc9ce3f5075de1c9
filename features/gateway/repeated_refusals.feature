Feature: An earlier refusal that is written once more on a kept connection
  It says nothing of the call that is in progress: an endpoint may be running that call.

  @always_2 @always_4
  Scenario Outline: Status <status> <ids>, written once more <moment>, refuses no other call
    Given a gateway with <count> endpoints and a route that <kind>
    And a call with another id was refused on a connection that is kept
    When a call is sent on it and status <status> <ids> is written once more <moment>
    Then the caller has the real answer and the call was sent once
    And the endpoint gets the next call, on a new connection

    Examples: identifiers
      | count | kind                | status | ids                        | moment              |
      | 1     | may repeat          | 503    | with the earlier id        | after the call      |
      | 1     | may repeat          | 503    | with both ids, this last   | after the call      |
      | 2     | may repeat          | 503    | with the earlier id        | after the call      |
      | 1     | streams and resumes | 503    | with the earlier id        | after the call      |

    Examples: statuses
      | count | kind       | status | ids                 | moment         |
      | 1     | may repeat | 429    | with the earlier id | after the call |
      | 1     | may repeat | 421    | with the earlier id | after the call |
      | 1     | may repeat | 400    | with the earlier id | after the call |

    Examples: moments
      | count | kind                | status | ids                 | moment                      |
      | 1     | may repeat          | 503    | with the earlier id | before the call             |
      | 1     | may repeat          | 503    | without an id       | before the call             |
      | 1     | streams and resumes | 503    | without an id       | before the call             |
      | 1     | may repeat          | 503    | with the earlier id | with the answer before      |
      | 1     | may repeat          | 503    | without an id       | with the answer before      |
      | 1     | streams and resumes | 503    | without an id       | with the answer before      |
      | 1     | may repeat          | 503    | with the earlier id | with the real answer        |
      | 1     | may repeat          | 503    | with the earlier id | after the real answer       |
      | 1     | may repeat          | 503    | without an id       | after the real answer       |
      | 1     | streams and resumes | 503    | without an id       | after the real answer       |
      | 1     | may repeat          | 503    | without an id       | behind the real answer      |
      | 1     | streams and resumes | 503    | without an id       | behind the real answer      |

  @always_2 @always_4
  Scenario Outline: A call after which only status <status> <ids> comes is not "not run"
    Given a gateway with 1 endpoints and a route that <kind>
    And a call with another id was refused on a connection that is kept
    When a call is sent on it and status <status> <ids> is all that comes before <end>
    Then the caller is told that the call may have run

    Examples: ends
      | kind                | status | ids                        | end       |
      | may repeat          | 503    | with the earlier id        | a close   |
