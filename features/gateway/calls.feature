Feature: Calls forwarded directly to endpoints
  Each caller gets the whole answer to the own call or a truthful failure, and a call
  that may not be repeated is sent at most once.

  @always_2 @always_3 @always_4
  Scenario Outline: What a caller gets when an endpoint <behaviour> on a route that <kind>
    Given a gateway with 2 endpoints and a route that <kind>
    When a caller sends a call and the first endpoint <behaviour>
    And any other endpoint answers well
    Then the caller gets <status> after <sends> sends
    And the answer is <whole>

    Examples: answers that are complete
      | behaviour                            | kind           | status | sends | whole       |
      | answers well                         | may repeat     | 200    | 1     | whole       |
      | answers well                         | runs once only | 200    | 1     | whole       |
      | answers without a length and ends    | runs once only | 200    | 1     | whole       |
      | answers after a late foreign answer  | runs once only | 200    | 1     | whole       |
      | answers and sends garbage with it    | runs once only | 200    | 1     | whole       |
      | answers twice and says that it closes | runs once only | 200   | 1     | whole       |

    Examples: refusals
      | behaviour             | kind           | status | sends | whole       |
      | refuses as full       | may repeat     | 200    | 2     | whole       |
      | refuses as full       | runs once only | 503    | 1     | its own     |
      | has another name      | may repeat     | 200    | 2     | whole       |
      | has another name      | runs once only | 503    | 1     | its own     |

    Examples: calls that may have run
      | behaviour                            | kind           | status | sends | whole       |
      | resets before the answer             | may repeat     | 200    | 2     | whole       |
      | resets before the answer             | runs once only | 502    | 1     | its own     |
      | resets in the middle                 | may repeat     | 200    | 2     | whole       |
      | resets in the middle                 | runs once only | 502    | 1     | its own     |
      | ends in the middle                   | runs once only | 502    | 1     | its own     |
      | answers without a length and resets  | runs once only | 502    | 1     | its own     |
      | answers without a signature          | runs once only | 502    | 1     | its own     |
      | answers with an encoding             | runs once only | 502    | 1     | its own     |
      | answers what is not HTTP             | runs once only | 502    | 1     | its own     |
      | switches protocols                   | runs once only | 502    | 1     | its own     |
      | answers busy without a promise       | runs once only | 502    | 1     | its own     |
      | answers 429 without a promise        | runs once only | 502    | 1     | its own     |
      | is silent                            | may repeat     | 200    | 2     | whole       |
      | is silent                            | runs once only | 504    | 1     | its own     |

    Examples: failures of the endpoint itself
      | behaviour             | kind           | status | sends | whole       |
      | fails                 | may repeat     | 200    | 2     | whole       |
      | fails                 | runs once only | 500    | 1     | whole       |
      | answers 404           | may repeat     | 404    | 1     | whole       |

  Scenario: A call goes elsewhere when an endpoint takes no connection, and it is ejected
    Given a gateway with 2 endpoints and a route that runs once only
    When a caller sends a call and the first endpoint takes no connection
    And any other endpoint answers well
    Then the caller gets 200 after 1 sends
    And the first endpoint is ejected

  @always_2
  Scenario Outline: A stream that breaks <moment> goes on at another endpoint
    Given a gateway with 2 endpoints and a route that streams and resumes
    When a caller sends a call and its stream breaks <moment>
    And the other endpoint goes on from event <next>
    Then the caller gets the events 1 to 4, each once, and a complete end
    And the second send names event <last> as the last one

    Examples:
      | moment                     | next | last |
      | after event 2              | 3    | 2    |
      | in the middle of event 3   | 3    | 2    |
      | before event 1             | 1    | none |
      | after event 2 with a pause | 3    | 2    |

  @always_2
  Scenario: A stream that cannot be resumed does not end as a complete one
    Given a gateway with 2 endpoints and a route that streams once
    When a caller sends a call and its stream breaks after event 2
    Then the caller's connection is broken off

  Scenario: An endpoint that broke a call gets none until it takes a connection
    Given a gateway with 2 endpoints and a route that may repeat
    When a caller sends a call and the first endpoint resets before the answer
    And any other endpoint answers well, and the first takes no connection
    Then further calls go to the other endpoint only
    When the first endpoint takes connections again
    Then it may get calls

  Scenario Outline: Work ends when the caller leaves while the call is <phase>
    Given a gateway with 1 endpoints and a route that may repeat
    When a caller leaves while the call is <phase>
    Then no endpoint works for it and none is sent it later

    Examples:
      | phase   |
      | sent    |
      | waiting |
      | dialled |

  Scenario: A connection is kept for the next call that may be repeated
    Given a gateway with 1 endpoints and a route that may repeat
    When a caller sends 3 calls that are answered well
    Then 1 connection to the endpoint was opened

  @always_4
  Scenario: A call that may not be repeated gets a new connection
    Given a gateway with 1 endpoints and a route that runs once only
    When a caller sends 3 calls that are answered well
    Then 3 connections to the endpoint were opened

  Scenario Outline: An endpoint that <behaviour> is sent no other call on the connection
    Given a gateway with 1 endpoints and a route that may repeat
    When a caller sends a call and the first endpoint <behaviour>
    Then the caller gets 200 after 1 sends
    And the connection to the endpoint is closed

    Examples:
      | behaviour                             |
      | answers twice                         |
      | answers and sends garbage with it     |
      | answers twice and says that it closes |

  @always_6
  Scenario: A planned stop ends the call in progress and closes its connection
    Given a gateway with 1 endpoints and a route that may repeat
    When a caller sends a call and the process is stopped
    And the endpoint answers 2 s later
    Then the caller gets 200 and the connection is closed

  @always_6
  Scenario: A process that stops takes no new connection after 3 s while a call goes on
    Given an entry process with a call in progress
    When it gets the stop signal
    Then it is not ready, and takes connections for 3 s and none after that
    And it goes on until the call has ended

  Scenario: Instances that are cut off go on repeating, so the budget counts them
    Given an entry process with a call in progress
    When 44 other instances are registered and none of them reports
    Then its part of the common repeats is one of 45

  Scenario: Reports of instances that have gone take no memory
    Given an entry process with a call in progress
    When 1000 instances report a call, and their connections end
    Then it keeps no report of them
