Feature: Lease on an engine
  One process sends commands to an engine, also when a former holder wakes up.

  Scenario Outline: A replaced holder wakes up and sends a command: <engine>, <fault>
    Guards against an engine that follows a process which was replaced while paused.
    Given an engine that <engine> with an agent that holds its lease
    When the agent is paused and replaced during <fault>
    And the paused agent wakes up <delay> s later and sends its prepared command
    Then the engine follows the replacement in the end
    And the woken agent sends no further command

    Examples:
      | engine             | fault                                 | delay |
      | checks the token   | no fault                              | 10    |
      | checks the token   | no fault                              | 400   |
      | checks the token   | a lost answer                         | 10    |
      | checks the token   | a transaction that takes effect late  | 10    |
      | checks the token   | an outage of 60 s                     | 100   |
      | ignores the token  | no fault                              | 2     |
      | ignores the token  | no fault                              | 20    |
      | ignores the token  | no fault                              | 400   |
      | ignores the token  | a lost answer                         | 20    |
      | ignores the token  | a lost request                        | 20    |
      | ignores the token  | an outage of 60 s                     | 100   |

  Scenario Outline: A lease is respected while clocks differ: <clocks>
    Guards against a lease that is taken while its holder may still use it.
    Given an engine that checks the token with an agent that holds its lease
    When another agent with an earlier start tries to take it, with <clocks>
    Then it does not get the lease while the holder renews it for 900 s
    When the holder is paused
    Then the other agent gets the lease between 100 s and 240 s later
    And the holder's token was no longer valid at that time

    Examples:
      | clocks                             |
      | equal clocks                       |
      | a clock of the holder that is slow |
      | a clock of the holder that is fast |
      | clocks an hour apart               |

  Scenario Outline: The holder goes on during an outage and loses the lease to <rival>
    Guards against an outage of the table service that stops engine commands, and
    against a holder that does not notice a takeover after it.
    Given an engine that checks the token with an agent that holds its lease
    When the table service is down for 600 s
    Then the holder may send commands all the time
    When the table service is up again and there is <rival>
    Then the engine refuses every other agent after 20 s
    And exactly one agent may send commands after 80 s

    Examples:
      | rival            |
      | no other process |
      | a replacement    |

  Scenario: A released lease is taken at once with a higher token
    Guards against a planned stop after which an engine has no commander for minutes.
    Given an engine that checks the token with an agent that holds its lease
    When another agent with an earlier start tries to take it, with equal clocks
    And the holder releases the lease
    Then the other agent gets the lease between 0 s and 20 s later

  Scenario: A table service restored to an older state gives no usable token twice
    Guards against an engine that refuses every command after a restore.
    Given an engine that checks the token with an agent that holds its lease
    When the table service loses the leases
    And the agent is replaced
    Then the replacement's command is followed after 20 s

  Scenario Outline: Two replacements start at the same time during <fault>
    Guards against two agents that take the lease with the same token.
    Given an engine that checks the token with an agent that holds its lease
    When the agent is paused and two replacements start together during <fault>
    Then no token was given to two agents
    And the later replacement holds the lease after 80 s

    Examples:
      | fault                                |
      | no fault                             |
      | a lost answer                        |
      | a lost request                       |
      | a transaction that takes effect late |

  Scenario Outline: <agent> backs off while every transaction meets <fault>
    Guards against agents that overload a table service which fails only its writes.
    Given an engine that checks the token with an agent that holds its lease
    When every transaction meets <fault> for 120 s and <agent> needs one
    Then it sent more than 2 and at most 30 transactions
    And it may send commands 20 s after the fault

    Examples:
      | agent         | fault          |
      | the holder    | a lost answer  |
      | the holder    | a lost request |
      | a replacement | a lost answer  |
      | a replacement | a lost request |

  Scenario: No token is given twice under random faults
    Guards against two processes that command an engine with the same token.
    Given an engine that checks the token with an agent that holds its lease
    When agents are killed, paused and replaced at random during 300 faults
    Then the lease was taken more than 10 times
    And no token was given to two agents
    And the engine never followed an older token after a newer one

  Scenario: The leases of 780 agents take few requests
    Guards against renewals that use up the table service.
    Given an engine that checks the token with an agent that holds its lease
    Then its renewals take less than 30 writes and 30 reads a second for 780 agents
