Feature: Requests during the planned stop of an entry process
  The process is killed 8 s after the stop signal. A request that was read has a whole
  answer by then, or a refusal that is true. One that cannot end in time is refused when
  it arrives, so that its client goes to another instance.

  @always_6
  Scenario Outline: An answer is cut because its client reads slowly: <answer>
    Given an entry process that is killed 8 s after its stop signal
    And a route that runs once only, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped, and a slow client has <answer> unread until 7.8 s
    Then the process ends after its client has read it, within the grace period

    Examples:
      | answer               |
      | an answer from 5.0 s |
      | a failure at the end |

  @always_6
  Scenario: A client that never reads does not hold the process until it is killed
    Given an entry process that is killed 8 s after its stop signal
    And a route that runs once only, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped, and a slow client has an answer from 5.0 s unread until 9.0 s
    Then the process ends by itself within the grace period

  @always_6
  Scenario Outline: An answer is ready when the process goes on after a freeze from <from_s> s to <until_s> s
    Given an entry process that is killed 8 s after its stop signal
    And a route that runs once only, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped with a request in progress, and frozen from <from_s> s to <until_s> s
    Then the answer that came meanwhile reaches its caller within the grace period

    Examples:
      | from_s | until_s |
      | 3.0    | 7.7     |
      | 7.0    | 7.7     |
      | 7.4    | 7.85    |
