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
      | 1     | may repeat          | 503    | without an id              | after the call      |
      | 1     | may repeat          | 503    | with an empty id           | after the call      |
      | 1     | may repeat          | 503    | with both ids, this last   | after the call      |
      | 1     | may repeat          | 503    | with both ids, this first  | after the call      |
      | 1     | may repeat          | 503    | with this id, then empty   | after the call      |
      | 2     | may repeat          | 503    | with the earlier id        | after the call      |
      | 2     | may repeat          | 503    | without an id              | after the call      |
      | 2     | may repeat          | 503    | with both ids, this first  | after the call      |
      | 1     | streams and resumes | 503    | with the earlier id        | after the call      |
      | 1     | streams and resumes | 503    | without an id              | after the call      |
      | 2     | streams and resumes | 503    | without an id              | after the call      |
      | 2     | streams and resumes | 503    | with both ids, this first  | after the call      |

    Examples: statuses
      | count | kind       | status | ids                 | moment         |
      | 1     | may repeat | 429    | with the earlier id | after the call |
      | 1     | may repeat | 429    | without an id       | after the call |
      | 1     | may repeat | 421    | with the earlier id | after the call |
      | 1     | may repeat | 421    | without an id       | after the call |
      | 1     | may repeat | 408    | without an id       | after the call |
      | 1     | may repeat | 400    | with the earlier id | after the call |
      | 1     | may repeat | 400    | without an id       | after the call |

    Examples: moments
      | count | kind                | status | ids                 | moment                      |
      | 1     | may repeat          | 503    | with the earlier id | before the call             |
      | 1     | may repeat          | 503    | without an id       | before the call             |
      | 1     | streams and resumes | 503    | without an id       | before the call             |
      | 1     | may repeat          | 503    | with the earlier id | with the answer before      |
      | 1     | may repeat          | 503    | without an id       | with the answer before      |
      | 1     | streams and resumes | 503    | without an id       | with the answer before      |
      | 1     | may repeat          | 503    | with the earlier id | with the real answer        |
      | 1     | may repeat          | 503    | without an id       | with the real answer        |
      | 1     | streams and resumes | 503    | without an id       | with the real answer        |
      | 1     | may repeat          | 503    | without an id       | in single bytes             |
      | 1     | may repeat          | 503    | without an id       | after an interim answer     |
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
      | may repeat          | 503    | without an id              | a close   |
      | may repeat          | 503    | without an id              | silence   |
      | may repeat          | 429    | without an id              | a close   |
      | may repeat          | 421    | without an id              | a reset   |
      | may repeat          | 400    | without an id              | a close   |
      | may repeat          | 408    | without an id              | a close   |
      | may repeat          | 503    | with both ids, this first  | a close   |
      | streams and resumes | 503    | without an id              | a close   |
      | streams and resumes | 503    | with an empty id           | silence   |

  @always_4
  Scenario Outline: A refusal with the id of a call that <kind> and is sent once more
    Given a gateway with 1 endpoints and a route that <kind>
    And a call with this id was refused on a connection that is kept
    When it is sent once more and its refusal is written once more on that connection
    Then the caller has the real answer and the call was sent once

    Examples: kinds
      | kind                |
      | may repeat          |
      | streams and resumes |

  Scenario Outline: The first answer on a new connection may refuse a call <ids>
    Given a gateway with 1 endpoints and a route that <kind>
    When a call is sent on a new connection and refused by status <status> <ids>
    Then the caller is told that the call was not run

    Examples: identifiers
      | kind           | status | ids           |
      | may repeat     | 503    | with this id  |
      | may repeat     | 503    | without an id |
      | runs once only | 503    | without an id |
      | streams once   | 400    | without an id |

  @always_4
  Scenario Outline: A second answer on a new connection refuses no call that <kind>
    Given a gateway with 2 endpoints and a route that <kind>
    When a call is sent on a new connection and two refusals <ids> come before a close
    Then the caller is told that the call may have run

    Examples: identifiers
      | kind           | ids                                     |
      | runs once only | with the earlier id, then without an id |
      | streams once   | with the earlier id, then without an id |
      | runs once only | with both ids, this first               |
      | streams once   | with both ids, this first               |

  Scenario Outline: The first answer to a call without an id that <kind> is its own
    Given a gateway with 1 endpoints and a route that <kind>
    And a call with another id was refused on a connection that is kept
    When a call without an id is refused by status 400 without an id
    Then the caller is told that the call was not run

    Examples: kinds
      | kind                |
      | may repeat          |
      | streams and resumes |

  Scenario: A connection remembers a limited number of refused attempts
    Given a gateway with 1 endpoints and a route that may repeat
    When as many calls as a connection remembers are refused on it
    Then it is closed, and the call before was sent on it

  @always_2 @always_4
  Scenario Outline: What else is written on a kept connection refuses no call that <kind>
    Then a call that <kind> is not refused by refusals, garbage and answers in any order

    Examples: kinds
      | kind                |
      | may repeat          |
      | streams and resumes |
