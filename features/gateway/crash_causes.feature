Feature: A part of a prompt that crashes endpoints is not sent on
  Requests that are otherwise different share one part of their prompts, under which every
  endpoint crashes as it begins to answer.

  Scenario Outline: Requests that share a part <with> after <crashes> crashes
    Given a gateway with 2 endpoints and a route that streams once
    And sound requests with parts "system,<sound>" are answered between crashes
    When <crashes> different requests with parts "system,bad" crash their endpoints
    Then a request with parts "<parts>" is <outcome>

    Examples:
      | with                         | crashes | sound | parts         | outcome               |
      | with them                    | 3       | other | system,bad    | answered 503 unsent   |
      | with them and have another   | 3       | other | system,x,bad  | answered 503 unsent   |
      | with them before the limit   | 2       | other | system,bad    | sent                  |
      | with sound requests          | 3       | other | system,other  | sent                  |
      | with both, the first one     | 3       | other | system        | sent                  |
      | with them, but were answered | 3       | bad   | system,bad    | sent                  |

  Scenario Outline: Endpoints that crash <after> s after they have begun to answer
    Given a gateway with 2 endpoints and a route that streams once
    And sound requests with parts "system,other" are answered between crashes
    When 3 endpoints crash <after> s after they began to answer parts "system,bad"
    Then a request with parts "system,bad" is <outcome>

    # A part crashes endpoints as they begin; a stream that has gone on is sound.
    Examples:
      | after | outcome             |
      | 0.2   | answered 503 unsent |
      | 0.7   | sent                |

  Scenario Outline: After a crash the address of the endpoint <behaves>
    Given a gateway with 2 endpoints and a route that streams once
    And sound requests with parts "system,other" are answered between crashes
    When 3 endpoints crash under parts "system,bad" and their address <behaves>
    Then a request with parts "system,bad" is <outcome>

    # A proxy may take connections in place of a process that has crashed. A connection
    # that was cut proves nothing while its endpoint goes on.
    Examples:
      | behaves                                      | outcome             |
      | accepts a connection and closes it           | answered 503 unsent |
      | accepts a connection and is no longer listed | answered 503 unsent |
      | accepts a connection and is listed anew      | answered 503 unsent |
      | accepts a connection and stays               | sent                |
      | accepts a connection and leaves              | sent                |

  Scenario: Answers that were read after the instance stood still show no part to be sound
    Given a gateway with 2 endpoints and a route that streams once
    And sound requests with parts "system,other" are answered between crashes
    When 2 different requests with parts "system,bad" crash their endpoints
    And another one does while the instance stands still for 3.0 s
    Then a request with parts "system,bad" is answered 503 unsent

  Scenario: Broken connections do not count when their endpoints end much later
    Given a gateway with 2 endpoints and a route that streams once
    And sound requests with parts "system,other" are answered between crashes
    When 3 endpoints break a connection under parts "system,bad" and refuse others 30.0 s later
    Then a request with parts "system,bad" is sent

  Scenario: Endpoints that are cut off together and unlisted in turn block no part
    Given a gateway with 6 endpoints and a route that streams once
    When 4 endpoints break connections at once under parts "system,bad" and are unlisted 0.3 s apart
    Then a request with parts "system,bad" is sent

  Scenario: A call with a part that is blocked while it waits is not sent
    Given a gateway with 2 endpoints and a route that streams once
    And sound requests with parts "system,other" are answered between crashes
    When 2 different requests with parts "system,bad" crash their endpoints
    And a request with parts "system,bad" waits during another crash
    Then it is answered 503 unsent

  Scenario Outline: <entries> entry instances find the part that crashes endpoints, seed <seed>
    Given a replay of requests that share one part at <entries> entry instances
    When it is played with seed <seed>
    Then at most 3 requests with the part are sent later than the bound after the fifth crash
    And at least half of the sound requests are sent

    Examples:
      | entries | seed |
      | 6       | 1    |
      | 6       | 2    |
      | 6       | 3    |
      | 45      | 1    |

  Scenario Outline: <entries> entry instances find the part though <trouble>, seed <seed>
    Given a replay of requests that share one part at <entries> entry instances
    When it is played with seed <seed> and <trouble>
    Then at most 3 requests with the part are sent later than the bound after the fifth crash
    And at most 1 in 1000 of the sound requests is rejected

    Examples:
      | entries | seed | trouble                                       |
      | 6       | 1    | a third of the messages are lost              |
      | 6       | 2    | messages are up to 1 s late and out of order  |
      | 6       | 3    | half of the messages are repeated             |
      | 6       | 4    | an instance restarts each 0.5 s               |
      | 6       | 5    | all instances restart at once                 |
      | 45      | 1    | a third of the messages are lost              |
      | 45      | 2    | messages are up to 1 s late and out of order  |
      | 45      | 3    | an instance restarts each 0.5 s               |
      | 45      | 4    | all instances restart at once                 |
      | 100     | 1    | all of this                                   |

  Scenario: Engines of one host that crash at once block no part
    Given a replay of requests that share one part at 6 entry instances
    When 5 engines crash at once under requests with the same parts
    Then no part is blocked

  Scenario: An entry instance that has restarted learns which parts are blocked
    Given an entry instance that has blocked the part "bad" after crashes of "system,bad"
    When another one starts and connects to it 5 s later
    Then that one blocks the part "bad" for 115 s and no other

  Scenario Outline: A part with which prompts begin is blocked after <crashes> crashes: <blocked>
    Given an entry instance that knows of no crash
    When <crashes> engines crash in turn under requests with parts "<parts>"
    Then the blocked parts are "<blocked>"

    Examples:
      | crashes | parts      | blocked |
      | 5       | bad        | none    |
      | 6       | bad        | bad     |
      | 2       | system,bad | none    |
      | 3       | system,bad | bad     |

  Scenario Outline: Crashes that a blocked part explains block no other: <others>
    Given an entry instance that knows of no crash
    When 3 engines crash in turn under requests with parts "system,bad"
    And 3 more crash 1.0 s later under parts "system,bad,<others>"
    Then the blocked parts are "bad"

    Examples:
      | others       |
      | document     |
      | document,own |

  Scenario: Answered parts are kept within bounds
    Given an entry instance that knows of no crash
    When 2000 different parts are answered, and one of 300 characters
    Then 1024 answered parts are kept and 976 were dropped

  Scenario: A document of other requests is not blamed for crashes at the same time
    Given an entry instance that knows of no crash
    When engines crash as in seed 8203 of the soak
    Then the blocked parts are "bad"

  Scenario Outline: Crashes <after> s before count against a part: <blocked>
    Given an entry instance that knows of no crash
    When 2 engines crash in turn under requests with parts "system,rare"
    And 1 more crash <after> s later under parts "system,rare"
    Then the blocked parts are "<blocked>"

    Examples:
      | after | blocked |
      | 118.0 | rare    |
      | 120.0 | none    |
