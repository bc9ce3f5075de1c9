@always_2
Feature: Engines and services that fall silent for a moment, on the way through agents
  A sound engine may be silent for a second or two. One broken connection to it costs one
  attempt; the others end as their own connections do.

  Scenario Outline: A connection breaks beside others to one <kind> that <course> for <silence> s
    Given an agent beside one <kind> that runs 3 attempts
    When the connection of attempt 1 breaks and the <kind> <course> for <silence> s
    And the other attempts end <later> s after the break
    Then the agent ends attempt 1 as failed without a crash
    And the agent ends attempts 2 and 3 with the whole answer

    Examples: silences
      | kind    | course              | silence | later |
      | engine  | is silent           | 0.9     | 1.0   |
      | engine  | is silent           | 1.0     | 1.1   |
      | engine  | is silent           | 1.5     | 1.6   |
      | engine  | is silent           | 2.0     | 2.1   |
      | engine  | is silent           | 2.0     | 9.0   |
      | engine  | takes no connection | 1.5     | 1.6   |
      | engine  | takes no connection | 2.0     | 2.1   |
      | service | is silent           | 0.9     | 1.0   |
      | service | is silent           | 1.0     | 1.1   |
      | service | is silent           | 1.5     | 1.6   |
      | service | is silent           | 2.0     | 2.1   |
      | service | takes no connection | 1.5     | 1.6   |

  Scenario Outline: A connection breaks beside others to one <kind> that <course>
    Given an agent beside one <kind> that runs 3 attempts
    When the connection of attempt 1 breaks and the <kind> <course> for 9.0 s
    Then the agent ends all attempts as crashed within 1.0 s

    Examples: crashes
      | kind    | course                  |
      | engine  | refuses connections     |
      | engine  | closes connections      |
      | engine  | has lost its weights    |
      | service | refuses connections     |
      | service | closes connections      |

  Scenario Outline: A <kind> request while its <process> stands still for <pause> s
    Given an entry instance with a <kind> request that runs at an agent
    When the <process> stands still for <pause> s at any time between its reports
    Then the caller gets the whole answer of the first attempt

    Examples: standstills
      | kind   | process             | pause |
      | stream | agent               | 1.0   |
      | stream | agent               | 1.5   |
      | stream | agent               | 2.0   |
      | whole  | agent               | 1.0   |
      | whole  | agent               | 1.5   |
      | whole  | agent               | 2.0   |
      | stream | agent and all peers | 1.5   |
      | whole  | agent and all peers | 2.0   |
      | stream | entry               | 1.5   |
      | whole  | entry               | 2.0   |
      | whole  | entry               | 4.0   |

  Scenario Outline: A <kind> request whose agent is silent for good, <known>
    Given an entry instance with a <kind> request that runs at an agent
    When the agent falls silent for good, <known>
    Then the caller gets the whole answer of another agent within 5.0 s

    Examples: mute agents
      | kind   | known             |
      | stream | to all its peers  |
      | whole  | to all its peers  |
      | whole  | to this entry only |
