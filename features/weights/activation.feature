Feature: Load command of an engine
  An endpoint is ready for a version only after its engine reported the digest of that
  version, and the command is sent only for a complete set under the current lease.

  @always_1
  Scenario Outline: Without a condition no load command is sent: <lacking>
    Given an activation that lacks <lacking>
    When the activation gets 100 s of time and reports of an empty engine
    Then the activation sent no load command
    And the activation is not ready

    Examples:
      | lacking      |
      | the chunks   |
      | the lease    |
      | a wanted row |

  @always_1
  Scenario Outline: The endpoint is not ready after <event>
    Given an activation that has sent its load command
    When the activation hears <event>
    Then the activation is not ready
    And the activation repeats the load command later

    Examples:
      | event                                  |
      | that the engine refused the command    |
      | that the engine crashed while loading  |
      | another digest after the command       |
      | no digest after the command            |
      | nothing for 700 s                      |
      | that the engine still loads for 700 s  |

  @always_1
  Scenario Outline: A ready endpoint stops being ready after <event>
    Given an activation that is ready
    When the activation hears <event>
    Then the activation is not ready
    And the activation repeats the load command later

    Examples:
      | event                                |
      | that the engine crashed              |
      | another digest on a check            |

  @always_1
  Scenario: A late command of an old agent process is noticed
    Given an activation that is ready
    When the activation gets 6 s of time
    Then the activation has read back the engine

  @always_1
  Scenario Outline: An engine that serves something else gets no requests while <phase>
    Given an activation that is ready
    When the activation enters the phase in which <phase>
    Then the activation reads the engine within 6 s
    And the activation stops being ready when another digest is reported

    Examples:
      | phase                                  |
      | the lease is lost                      |
      | chunks of a new version are missing    |
      | a new version is being loaded          |
      | a load command failed                  |

  @always_1
  Scenario: An answer to a command under an old lease is ignored
    Given an activation that has sent its load command
    When the activation gets a new lease
    Then the activation reads the engine before it sends a command again
    And the activation ignores the old answers

  @always_1
  Scenario: An agent that restarted finds the version in its engine
    Given an activation with everything but the engine's report
    When the activation hears the wanted digest
    Then the activation is ready and sent no load command

  @always_1
  Scenario: Requests in progress finish on the old version
    Given an activation that is ready
    And the activation has 2 requests in progress on it
    When the activation is switched to a new version
    Then the old version of the activation is dropped only after both requests ended

  @always_1
  Scenario: A new version ends the load command of the old one
    Given an activation that has sent its load command
    When the activation is told of a new version in the middle of it
    Then the activation is not ready after the old version was reported
    And the activation loads the new version once its chunks are complete

  @always_1
  Scenario: Repeated failures are spaced out
    Given an activation that has sent its load command
    When the activation fails 8 times
    Then the activation waited longer each time up to its limit
