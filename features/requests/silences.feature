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
