Feature: Series of faults that overlap
  Real processes, links that break and servers that fail, drawn from a seed; what must
  hold is checked from what clients and servers saw.

  @always_2 @always_3 @always_5 @always_7
  Scenario Outline: The seed <seed> of the soak
    When the soak plays seed <seed> with 8 faults in 4 s
    Then nothing that must hold was violated in at least 100 requests

    Examples:
      | seed |
      | 2    |
      | 3    |
      | 5    |
      | 33   |
      | 123  |
      | 130  |
      | 7006 |
      | 7217 |
      | 8105 |

  @always_2
  Scenario Outline: Planned work and silent servers of the seed <seed> of the soak
    When the soak plays the planned work of seed <seed> in 4 s
    Then nothing that must hold was violated in at least 100 requests

    Examples:
      | seed |
      | 9010 |
