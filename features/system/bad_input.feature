@processes
Feature: Bad input
  Bad input gets a clear error and a counter, and does no harm to anything else.

  Scenario Outline: A bad HTTP request is rejected: <fault>
    Given a deployment that serves version "v1"
    When a caller sends a request with <fault>
    Then it gets status <status>, the error code <code> and the verdict "not_run"
    And the next request is answered

    Examples:
      | fault                     | status | code           |
      | no JSON                   | 400    | not_json       |
      | deeply nested JSON        | 400    | not_json       |
      | a list as body            | 400    | not_json       |
      | no model                  | 400    | no_model       |
      | no prompt                 | 400    | no_prompt      |
      | a text as stream          | 400    | bad_stream     |
      | a body of 2 MiB           | 413    | body_too_large |
      | no client                 | 401    | no_client      |
      | priority 12               | 400    | bad_priority   |
      | a negative deadline       | 400    | bad_deadline   |
      | a row that is not there   | 404    | no_row         |
      | a client without a grant  | 403    | not_granted    |
      | an idempotency key of 300 | 400    | bad_key        |

  Scenario Outline: A bad frame on a peer port is rejected: <fault>
    Given a deployment that serves version "v1"
    When a peer sends <fault> to an entry and to an agent
    Then both close that connection and count the fault <counter>
    And the next request is answered

    Examples:
      | fault                   | counter             |
      | a frame that is too long | frame_too_long     |
      | a cut frame             | frame_truncated     |
      | an unknown type         | frame_unknown_type  |
      | a newer protocol        | frame_wrong_version |
      | bytes that are no frame | frame_malformed     |
      | work before a hello     | frame_malformed     |

  Scenario Outline: A command with <fault> ends with a message and code <code>
    Given a deployment that serves version "v1"
    When an operator runs a command with <fault>
    Then it ends with code <code>, names "<text>" and shows no traceback

    Examples:
      | fault                   | code | text                    |
      | an unknown name         | 2    | Could not consume       |
      | a missing file          | 2    | cannot be read          |
      | a table that is no JSON | 2    | not JSON                |
      | a table without digest  | 2    | manifest_digest         |
      | a stale base version    | 3    | was accepted first      |
      | settings of an agent    | 2    | role                    |
      | empty weights           | 2    | weights of 0 bytes      |
      | the table service down  | 4    | try again later         |

  Scenario: The help of the program names every command
    When an operator asks for the help of the program
    Then the help names "entry, agent, table, weights, request, burn, settings, version"
