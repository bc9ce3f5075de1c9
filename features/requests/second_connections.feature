@always_2
Feature: Agents with two connections to an entry instance
  Both processes may dial, and an old connection may end after a new one was made.

  Scenario Outline: A <kind> request on the <own> connection while the <lost> one ends
    Given an entry instance with two connections to its only agent
    And a <kind> request whose work was sent on the <own> connection
    When the <lost> connection ends
    Then the request <outcome>

    Examples:
      | kind   | own   | lost  | outcome                     |
      | whole  | newer | older | is answered by its attempt  |
      | stream | newer | older | is answered by its attempt  |
      | whole  | older | newer | is answered by its attempt  |
      | stream | older | newer | is answered by its attempt  |
      | whole  | newer | newer | gets an answer without it   |
      | whole  | older | older | gets an answer without it   |

  Scenario Outline: A caller leaves a request on the <own> connection
    Given an entry instance with two connections to its only agent
    And a whole request whose work was sent on the <own> connection
    When the caller of the request leaves
    Then the agent gets a cancellation on the <own> connection

    Examples:
      | own   |
      | newer |
      | older |
