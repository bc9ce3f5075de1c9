@always_2
Feature: Attempts that an agent aborts
  Guards against entry instances that wait until the deadline for an attempt which its
  agent has given up.

  Scenario Outline: The entry instance is told that an attempt ended, as <cause>
    Given an agent beside one engine that runs 3 attempts
    When attempt 1 is given up, as <cause>
    Then its entry instance is told so at once, and the call at the engine is cancelled

    Examples:
      | cause                                     |
      | the engine started at another token       |
      | a token of the engine is missing          |
      | the engine counts another number of bytes |
      | the engine has other weights              |
      | its deadline passed                       |
      | the drain limit passed                    |
