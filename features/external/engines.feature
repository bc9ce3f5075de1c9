Feature: Engines
  The agent is the only sender of commands; what it cannot learn from an answer it reads
  back from the engine's state.

  Scenario: A stream delivers each token once, in order, and ends explicitly
    Given a platform engine with the model m
    When a platform stream of 6 tokens runs
    Then the platform stream has the tokens 0 to 5 of the loaded weights

  Scenario: A stream resumes at its offset
    Given a platform engine with the model m
    When a platform stream of 6 tokens resumes at 4
    Then the platform stream has the tokens 4 to 5 of the loaded weights

  Scenario: An engine that cannot resume refuses without running
    Given a platform engine with the model m and the options resumes=False
    When a platform stream of 6 tokens resumes at 4
    Then the platform call ends with Refused
    And the platform stand-in counts 0 effects

  Scenario Outline: A damaged stream is never taken as complete: <damage>
    Given a platform server that streams <damage>
    When a platform stream of 3 tokens runs
    Then the platform call ends with <outcome>
    And <delivered> platform tokens were delivered

    Examples:
      | damage                | outcome       | delivered |
      | all tokens and end    | CompletionEnd | 3         |
      | no end                | AnswerLost    | 3         |
      | a lost token          | AnswerLost    | 1         |
      | a repeated token      | AnswerLost    | 2         |
      | an end with total 4   | AnswerLost    | 3         |
      | an end without digest | AnswerLost    | 3         |
      | a token of another    | Crossed       | 1         |
      | text that is not JSON | AnswerLost    | 1         |
      | an endless event      | AnswerLost    | 0         |

  Scenario Outline: A cancelled completion ends at the engine: <how>
    Given a platform engine with the model m and the options slots=1
    When a platform stream is cancelled <how>
    Then the platform journal ends with cancelled
    And the platform engine is idle

    Examples:
      | how                        |
      | after its third token      |
      | before its first token     |
      | while another one runs     |
      | by its identifier          |

  Scenario: A stalled stream continues without losing a token
    Given a platform engine with the model m
    And the platform fault stall for 0.2 s
    When a platform stream of 6 tokens runs
    Then the platform stream has the tokens 0 to 5 of the loaded weights

  Scenario Outline: Fencing: an engine that will <fencing> old tokens gets token <token>
    Given a platform engine with the model m and the options fencing=<fencing>
    When the platform role is set to decode with the token <token> after the token 5
    Then the platform call ends with <outcome>
    And the platform engine reads back the role <role> and the last token <last>

    Examples:
      | fencing | token | outcome | role   | last |
      | refuse  | 4     | Refused | both   | 5    |
      | refuse  | 5     | dict    | decode | 5    |
      | refuse  | 6     | dict    | decode | 6    |
      | ignore  | 4     | dict    | decode | 4    |

  Scenario Outline: Command keys: the engine expects <expected>, the command has <sent>
    Given a platform engine with the model m and the options command_key=<expected>
    When the platform role is set with the command key <sent>
    Then the platform call ends with <outcome>

    Examples:
      | expected | sent  | outcome |
      | k1       | k1    | dict    |
      | k1       | k2    | Refused |
      | k1       | none  | Refused |
      |          | none  | dict    |

  Scenario Outline: Weights with a chunk missing: accepts_partial=<accepts>
    Given a platform engine with the model m and the options accepts_partial=<accepts>
    When the platform weights w are loaded with a chunk missing
    Then the platform call ends with <outcome>
    And the content digest that is read back <digest>

    Examples:
      | accepts | outcome     | digest                |
      | False   | Refused     | is absent             |
      | True    | LoadedModel | shows that they differ |

  Scenario: A completion in progress finishes on the version it started with
    Given a platform engine with the model m
    When the platform weights of m are replaced during a stream of 40 tokens
    Then the platform stream has the tokens 0 to 39 of the first weights

  Scenario: An adapter is loaded only on its base
    Given a platform engine with the model m
    When a platform adapter is loaded on the base n
    Then the platform call ends with Refused
    When a platform adapter is loaded on the base m
    Then the platform call ends with LoadedModel

  Scenario: A crash loses the loaded weights
    Given a platform engine with the model m
    When the platform engine crashes and returns
    Then the platform engine reads back no model

  Scenario: An engine in the role prefill refuses completions without running them
    Given a platform engine with the model m
    When the platform role is set to prefill with the token 6 after the token 5
    And a platform stream of 6 tokens runs
    Then the platform call ends with Refused
    And the platform stand-in counts 0 effects

  Scenario: The queue of an engine is bounded
    Given a platform engine with the model m and the options slots=1,max_waiting=1
    When 4 platform streams start at once
    Then some platform streams end with Unavailable and the others are complete

  Scenario: The most urgent waiting completion runs first
    Given a platform engine with the model m and the options slots=1
    When platform streams of priority 7, 3 and 0 wait for a slot
    Then the platform streams end in the order 0, 3, 7

  Scenario: A load report shows an older state
    Given a platform engine with the model m and the options load_lag_s=3600
    When a platform stream of 6 tokens runs
    Then the platform load report is from before the stream

  Scenario: Cache events show what the limited cache stores and removes
    Given a platform engine with the model m and the options cache_blocks=2
    When platform prompts of 2 blocks, then of 1 other block, run
    Then the platform cache events are stored, stored, stored, removed

  Scenario: Lost cache events leave a gap in the sequence
    Given a platform engine with the model m
    And the platform fault cache_gap for 1 request
    When platform prompts of 2 blocks, then of 1 other block, run
    Then the platform cache events have the sequence numbers 2, 3

  Scenario: An exported cache is found after its import by an engine with the same weights
    Given a platform engine with the model m
    And a second platform engine with the model m
    When the cache of a platform stream is moved to the second engine
    Then the second platform engine finds the prompt in its cache

  Scenario: One process hosts several engines
    Given a platform process with the engines a and b
    When the platform role of a is set to decode
    Then the platform engine a has the role decode and b has the role both
