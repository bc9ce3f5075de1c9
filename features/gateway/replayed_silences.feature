Feature: Many calls whose endpoints fall silent for a moment or for ever
  Nobody can tell a sound endpoint that pauses from a mute one. Compared are the second
  attempt beside a silent one, giving a silent attempt up, and a longer limit.

  Scenario Outline: <kind> in which <load> keep to the targets, seed <seed>
    Given a replay of <kind> in which <load>
    When it is played for 20 s with seed <seed> by the way hedge
    Then no call at a sound endpoint ends without its end
    And no client leaves after a gap while route and budget allow another attempt
    And the repeats of no window exceed their bound

    Examples:
      | kind    | load                         | seed |
      | streams | 1 in 10 runs pauses          | 1    |
      | streams | 3 in 10 runs pause           | 2    |
      | streams | 3 in 10 pause, route drops   | 3    |
      | streams | 3 in 10 pause, little budget | 4    |
      | streams | all pause at once            | 5    |
      | streams | all pause, little budget     | 6    |
      | streams | 2 of 8 mute                  | 7    |
      | streams | 2 of 8 mute, 1 in 10 pauses  | 8    |
      | streams | 2 of 8 mute, little budget   | 9    |
      | answers | 3 in 10 pause, route drops   | 1    |
      | answers | 3 in 10 pause, little budget | 2    |
      | answers | all pause at once            | 3    |
      | answers | 2 of 8 mute, 1 in 10 pauses  | 4    |

  Scenario Outline: <kind> of which a silent attempt is given up are lost beside changes
    Given a replay of <kind> in which 3 in 10 pause, route drops
    When it is played for 20 s with seed 1 by the way give up
    Then calls at sound endpoints end without their end

    Examples:
      | kind    |
      | streams |
      | answers |

  Scenario: A longer limit lets clients of mute endpoints leave
    Given a replay of streams in which 2 of 8 mute
    When it is played for 20 s with seed 1 by the way stay
    Then clients leave after a gap although route and budget allow another attempt
