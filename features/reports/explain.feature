Feature: Explaining a request from the logs
  An engineer has only the logs of all processes and the identifier of a request.

  Scenario Outline: A request that <fate>
    Given the logs of two processes and a request that <fate>
    When the logs are asked about it
    Then only its <count> lines are shown, in the order of their times
    And the summary says "<says>"

    Examples:
      | fate                       | count | says                   |
      | was refused under load     | 2     | not run: overload      |
      | failed at an endpoint      | 3     | may have run           |
      | is not allowed             | 1     | answered 401           |
      | was answered               | 2     | answered by x after 1  |
      | had not ended              | 1     | had not ended          |
      | is not in the logs         | 0     | No line names          |
