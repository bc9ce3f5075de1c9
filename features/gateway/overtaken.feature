Feature: A newer configuration overtakes calls that were accepted under an older one
  What a configuration allows is checked again before each send, not only on arrival.

  @always_5 @always_7
  Scenario Outline: A call that is <phase> when <change>
    Given a gateway with <count> endpoints and a route that <kind>
    And a second service with an endpoint
    When a caller's call is <phase>
    And a newer configuration <change>
    Then the call <outcome>

    Examples:
      | count | phase               | kind                | change                              | outcome                        |
      | 1     | waiting             | may repeat          | takes its key away                  | is answered 401 and never sent |
      | 1     | waiting             | runs once only      | takes its key away                  | is answered 401 and never sent |
      | 1     | waiting             | may repeat          | drops its route                     | is answered 404 and never sent |
      | 1     | waiting             | may repeat          | moves its route to the other service | is sent to the other service  |
      | 1     | waiting             | may repeat          | takes the weight of its service away | is sent to the other service  |
      | 1     | dialled             | may repeat          | takes the weight of its service away | is sent to the other service  |
      | 1     | dialled             | may repeat          | takes its key away                  | is answered 401 and never sent |
      | 1     | dialled             | runs once only      | moves its route to the other service | is sent to the other service  |
      | 1     | dialled             | may repeat          | changes another key                 | is sent to the first service   |
      | 1     | waiting             | may repeat          | changes another key                 | is sent to the first service   |
      | 2     | sent and then lost  | may repeat          | takes its key away                  | is answered 502 and not repeated |
      | 2     | sent and then lost  | may repeat          | moves its route to the other service | is repeated at the other service |
      | 2     | streaming and then lost | streams and resumes | takes its key away              | is broken off and not repeated |
      | 2     | sent and then lost  | runs once only      | moves its route to the other service | is answered 502 and not repeated |

  @always_7
  Scenario: A call that is overtaken while the configuration may be outdated
    Given a gateway with 1 endpoints and a route that may repeat
    And a second service with an endpoint
    When a caller's call is waiting
    And nobody confirms the configuration
    And a newer configuration takes its key away
    Then the call is answered 503 and never sent
