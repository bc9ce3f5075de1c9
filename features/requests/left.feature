Feature: Work for callers that have left, on the way through agents
  The end of a caller's connection may wait in the socket while the event loop runs late.

  Scenario Outline: A caller that <left> before work is written to an agent
    Given an entry instance with a request whose work is <written>
    When the caller <left> and the work is to be written
    Then <count> work messages were written after that

    Examples:
      | left                  | written        | count |
      | stays connected       | not written    | 1     |
      | closes its connection | not written    | 0     |
      | resets its connection | not written    | 0     |
      | closes its connection | to be repeated | 0     |
      | stays connected       | to be repeated | 1     |

  @always_7
  Scenario: Requests that wait for a row which the table drops are rejected at once
    Given an entry instance with a request that waits for row "m"
    When a newer table has no row "m"
    Then the request is dispatched and fails as "no_endpoint"
