Feature: An earlier refusal that is written once more to a client of engines and services
  A call that may have run is not reported as one that was not: it would run twice.

  @always_2 @always_4
  Scenario Outline: A <call> on whose connection status <status> <ids> is written once more
    Given a server that writes status <status> <ids> again before each later answer
    When a call is refused and the external call <call> follows
    Then the external call has its own answer

    Examples: identifiers
      | call         | status | ids                       |
      | service call | 503    | with the earlier id       |
      | service call | 503    | without an id             |
      | service call | 503    | with both ids, this first |
      | completion   | 503    | with the earlier id       |
      | completion   | 503    | without an id             |
      | stream       | 503    | with the earlier id       |
      | stream       | 503    | without an id             |
      | load weights | 503    | without an id             |

    Examples: reads of services
      | call         | status | ids                       |
      | service read | 503    | with the earlier id       |
      | service read | 503    | without an id             |

    Examples: statuses
      | call         | status | ids                 |
      | service call | 429    | without an id       |
      | service call | 400    | without an id       |
      | service call | 409    | with the earlier id |
      | completion   | 429    | with the earlier id |
      | completion   | 404    | without an id       |
      | stream       | 421    | without an id       |
      | stream       | 400    | with the earlier id |
      | load weights | 409    | without an id       |

  @always_2 @always_4
  Scenario Outline: Status <status> <ids> does not refuse a <call>
    Given a server that answers as a script says
    When the external call <call> is answered by status <status> <ids>
    Then the external call may have run

    Examples: answers
      | call         | status | ids                       |
      | service call | 503    | with the earlier id       |
      | service call | 503    | with both ids, this first |
      | service call | 503    | with both ids, this last  |
      | service call | 503    | with an empty id          |
      | service call | 400    | with the earlier id       |
      | service call | 500    | with the earlier id       |
      | completion   | 503    | with the earlier id       |
      | completion   | 429    | with both ids, this first |
      | completion   | 400    | with the earlier id       |
      | completion   | 404    | with the earlier id       |
      | stream       | 503    | with the earlier id       |
      | stream       | 429    | with both ids, this first |
      | stream       | 400    | with the earlier id       |
      | stream       | 503    | with an empty id          |

  Scenario Outline: Status <status> <ids> refuses a <call>
    Given a server that answers as a script says
    When the external call <call> is answered by status <status> <ids>
    Then the external call was not run

    Examples: answers
      | call         | status | ids           |
      | service call | 503    | with this id  |
      | service call | 503    | without an id |
      | completion   | 429    | with this id  |
      | completion   | 400    | without an id |
      | stream       | 503    | with this id  |
      | stream       | 503    | without an id |
