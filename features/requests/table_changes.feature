@always_1 @always_2
Feature: Changes beside a request that runs at an agent
  A request that was taken ends by the whole answer of its sound agent, whatever changes
  meanwhile, also when the agent is silent for a moment.

  Scenario Outline: A <kind> request while <change>
    Given an entry instance with a <kind> request that runs at an agent
    When <change> and the agent is then silent for 2.0 s
    Then the caller gets the whole answer of the first attempt

    Examples:
      | kind   | change                                         |
      | whole  | the table drops the row                        |
      | stream | the table drops the row                        |
      | whole  | the table drops the client's grant             |
      | stream | the table drops the client's grant             |
      | whole  | the table gives the row to the other agent     |
      | stream | the table gives the row to the other agent     |
      | whole  | the table has other weights                    |
      | stream | the table has other weights                    |
      | whole  | the agent reports that it leaves               |
      | stream | the agent reports that it leaves               |
      | whole  | the agent has been unlisted for 31 s           |
      | stream | the agent has been unlisted for 31 s           |
      | stream | the other agent's connection is lost           |
      | whole  | the other agent's connection is lost           |
