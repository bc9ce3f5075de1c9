Feature: Requests end by one whole answer of their own or by a truthful refusal
  Requests of all kinds, endpoints that pause, leave, refuse or are replaced, and changes
  of the configuration overlap. A failing plan prints as Python code.

  @always_2
  Scenario Outline: Generated plays with <servers> endpoints, <stop> a stop of the process
    Given plays with <servers> endpoints, <stop> a stop of the process
    When generated plays are run, <left out> left out
    Then every request that was read ends by its own whole answer or a refusal
    And the plays had whole answers, refusals and repeats

    Examples: endpoints
      | servers         | stop    | left out |
      | sound           | without | nothing  |
      | sound           | with    | nothing  |
      | sound and other | without | nothing  |
      | sound and other | with    | nothing  |

  @always_2
  Scenario Outline: A call runs at most once after <case>
    When <case>, as in a play that failed
    Then every request that was read ends by its own whole answer or a refusal
    And its caller gets no answer that passes for whole

    Examples: plans
      | case                                                       |
      | a call breaks off after its route came to forbid repeats   |
      | a stream breaks off after its route came to forbid repeats |

  @always_4
  Scenario Outline: A retry that is not sent is given back when <case>
    When <case>, as in a play that failed
    Then every request that was read ends by its own whole answer or a refusal
    And no retry is left in the budget

    Examples: plans
      | case                                               |
      | a call that is refused finds no other endpoint     |
      | a client leaves while a second endpoint is dialled |
