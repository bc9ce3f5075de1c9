@always_2
Feature: Each caller gets the complete response to their own request
  Guards against truncated, crossed and repeated parts of answers, whatever fails between
  the caller and the engine.

  Scenario Outline: A <kind> request is answered whole despite <fault>
    Given a request fleet of 4 agents and 1 entries
    When a <kind> request meets the faults <fault>
    Then the request outcome is complete
    And the request caller has all tokens once and in order

    Examples:
      | kind   | fault                             |
      | stream | none                              |
      | stream | connection_refused                |
      | stream | lost_before_write                 |
      | stream | lost_during_write                 |
      | stream | lost_after_write                  |
      | stream | engine_refused                    |
      | stream | engine_crash                      |
      | stream | agent_killed                      |
      | stream | engine_lost                       |
      | stream | engine_truncated                  |
      | stream | engine_token_lost                 |
      | stream | engine_token_lost_midway          |
      | stream | engine_crossed                    |
      | stream | other_weights                     |
      | stream | part_lost                         |
      | stream | last_part_lost                    |
      | stream | part_duplicated                   |
      | stream | part_crossed                      |
      | stream | lost_after_write engine_token_lost |
      | whole  | connection_refused                |
      | whole  | lost_during_write                 |
      | whole  | lost_after_write                  |
      | whole  | engine_crash                      |
      | whole  | engine_truncated                  |
      | whole  | engine_crossed                    |
      | whole  | engine_status_503                 |
      | whole  | other_weights                     |
      | whole  | part_lost                         |
      | whole  | last_part_lost                    |
      | whole  | part_duplicated                   |
      | whole  | part_crossed                      |

  Scenario Outline: A stream that cannot be resumed ends with an error event: <reason>
    Given a request fleet of 4 agents and 1 entries
    And request engines that <ability>
    When a stream request meets the faults <fault>
    Then the request outcome is stream_error
    And the request error is <code> and names the tokens delivered
    And the request caller has only its own tokens in order

    Examples:
      | reason            | ability                | fault            | code          |
      | no resuming       | cannot resume          | lost_after_write | attempts      |
      | weights named late | name their weights last | lost_after_write | cannot_resume |
      | wrong weights      | name their weights last | other_weights    | engine_error  |

  Scenario: A copy of work that arrives while the first runs is ignored
    Given a request fleet of 1 agents and 1 entries
    When a stream request meets the faults work_duplicated
    Then the request outcome is complete
    And request agent a0 ran 1 attempts

  Scenario: A stream is resumed at its offset
    Given a request fleet of 4 agents and 1 entries
    When a stream request meets the faults lost_after_write
    Then the request outcome is complete
    And the request engines generated 6 tokens at most

  Scenario: A stream is not resumed from other weights
    Given a request fleet of 2 agents and 1 entries
    And request agent a1 serves other weights
    When a stream request loses its connection to a0 after some tokens
    Then the request outcome is stream_error
    And the request caller has only its own tokens in order

  Scenario: A response that arrives after the deadline is dropped
    Given a request fleet of 1 agents and 1 entries
    When a stream request meets the faults late_response
    Then the request outcome is may_have_run
    And the request error is deadline and says what to do next
    And the request final came after 4.0 seconds at most
    And the request agents run nothing

  Scenario: A response on the connection of another agent is dropped and counted
    Given a request fleet of 4 agents and 1 entries
    When a whole request meets the faults part_crossed
    Then the request entries dropped at least 1 responses

  Scenario Outline: An agent gives up work without a word to its entry because <cause>
    Given an agent with work in progress
    When the agent gives the work up because <cause>
    Then the entry is told before the connection closes that the work may have run

    Examples:
      | cause                               |
      | the answer belongs to another one   |
      | a token belongs to another one      |
      | the deadline of the work has passed |

  Scenario: A caller that disconnects cancels its attempt at the engine
    Given a request fleet of 1 agents and 1 entries
    When a stream request is left by its caller after 0.05 seconds
    Then the request agents run nothing after 0.01 seconds

  Scenario: A draining agent finishes its work and takes none
    Given a request fleet of 2 agents and 1 entries
    When a stream request is running and every request agent but the last drains
    Then the request outcome is complete
    And the request caller has all tokens once and in order
    And the request entries sent 1 attempts
    And the next 3 request outcomes are complete
    And request agent a0 ran 1 attempts
