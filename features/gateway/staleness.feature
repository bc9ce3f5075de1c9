Feature: An instance that knows its configuration to be too old stops serving
  It answers that the request has not run, before it serves what an older configuration
  allows. One that reaches nobody who knows more goes on.

  @always_7
  Scenario Outline: An instance <stops> when <situation>
    Given an instance whose configuration has to be in force within 2.0 s
    When <situation> happens to it
    Then it <stops>

    Examples:
      | situation                                               | stops                              |
      | no peer knows more while the store is away              | goes on serving                    |
      | newer records are known of and do not arrive            | stops after 1.6 to 1.9 s           |
      | a store that returns brings newer records in 0.3 s      | goes on serving                    |
      | newer records come again and again, each in 0.3 s       | goes on serving                    |
      | its event loop is late by 0.8 s                         | goes on serving                    |
      | a freeze of 5 s without any news after it               | stops and serves again in 1.1 s    |
      | a freeze of 5 s and a confirmation 0.1 s after it       | stops and serves again in 0.1 s    |
      | a freeze of 5 s and newer records that do not arrive    | stops and does not serve again     |

  @always_7
  Scenario Outline: Instances stop serving only when needed: <layout>, <trouble>
    Given data centres with <layout> instances that follow the store
    When they go through: <trouble>
    Then <names> stop serving

    Examples:
      | layout | trouble                                             | names |
      | 3+1+2  | an outage has just ended                            | none  |
      | 12     | an outage has just ended                            | none  |
      | 3+1+2  | refusals have just ended                            | none  |
      | 3+1+2  | held polls hear nothing and the history is dropped  | none  |
      | 12     | held polls hear nothing and the history is dropped  | none  |
      | 3+1+2  | an answer to each is lost after an outage           | none  |
      | 3+1+2  | the store is slow                                   | none  |
      | 12     | the readers of a data centre die                    | none  |
      | 3+1+2  | no records of peers arrive                          | none  |
      | 3+1+2  | an instance wakes from a freeze                     | a-00  |
      | 3+1+2  | one instance gets neither answers nor records       | b-00  |
      | 3+1+2  | a data centre is cut off while a change is written  | none  |

  @always_7
  Scenario Outline: A call that is <phase> when its instance stops serving
    Given a gateway with 1 endpoints and a route that may repeat
    When a caller's call is <phase>
    And the instance stops serving
    Then the call is answered <status> and <sending>

    Examples:
      | phase   | status | sending    |
      | waiting | 503    | never sent |
      | sent    | 200    | sent once  |

  @always_7
  Scenario: A call that arrives while its instance has stopped serving
    Given a gateway with 1 endpoints and a route that may repeat
    When the instance stops serving
    And a caller's call is received
    Then the call is answered 503 and never sent

  @always_7
  Scenario: A frozen process reads a request before its timers run
    Given an entry process with a call in progress
    When it is frozen for 5 s
    Then it has stopped serving for now and is not ready

  @always_7
  Scenario Outline: A request that a configuration denies is <answer> <age> s after the last answer of the store
    Given an entry process whose configuration has to be in force within <bound> s
    When the store has last answered <age> s ago
    Then a request that its configuration denies is <answer>

    Examples:
      | bound | age | answer                      |
      | 2.0   | 1.3 | denied                      |
      | 2.0   | 1.9 | told that it has not run    |
      | 3.0   | 2.0 | denied                      |
      | 3.0   | 2.8 | told that it has not run    |
      | 8.0   | 2.8 | denied                      |
      | 8.0   | 3.2 | told that it has not run    |
