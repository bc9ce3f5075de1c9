Feature: Planning a table
  Before a table is accepted, an operator sees what it changes and what speaks against
  it.

  Scenario Outline: A plan warns of <fault>
    Guards against accepting a table that leaves requests without an endpoint.
    Given a planned table with <fault>
    Then the plan warns of <kind>

    Examples:
      | fault                                | kind                  |
      | no fault                             | nothing               |
      | a row without holders                | no_holder             |
      | a holder that is not listed          | unknown_holder        |
      | a leaving time for every holder      | all_holders_leave     |
      | an adapter where its base is missing | base_not_held         |
      | more weights than memory             | insufficient_memory   |
      | limits above what its holders can do | limits_above_capacity |

  Scenario: A plan shows every change
    Guards against a changed field that the operator does not see.
    Given a planned table with a new row, a removed row, a new limit and a new half
    Then the plan shows these lines
      | line      |
      | + new     |
      | - old     |
      | ~ kept.limits |
      | ~ halves.south |
