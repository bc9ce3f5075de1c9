Feature: Odd messages of peers
  A message with odd values, or one that raises an error, costs only itself.

  Scenario Outline: A message of a peer with <field> as <value> costs only itself
    Given an entry process that is connected to a peer
    When the peer sends a report with <field> as <value>, and then a good one
    Then the good one is taken, and the connection and the process go on

    Examples:
      | field             | value     |
      | newest            | {"op": "x"} |
      | newest            | {"op": null} |
      | newest            | {"op": [1]} |
      | loads             | {"x": "1"} |
      | store_age_s       | NaN       |
      | store_age_s       | Infinity  |
      | sent_s            | NaN       |
      | store_served_s    | -Infinity |
      | weights_ages_s    | {"m": 7}  |
      | weights_ages_s    | {"m": [["1", NaN]]} |

  Scenario: A message that raises an error leaves the connection open
    Given an entry process that is connected to a peer
    When the peer sends a message that raises an error, and then a good report
    Then the good one is taken, and the connection and the process go on
    And the error is logged with the end of its traceback and counted
