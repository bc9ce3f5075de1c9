Feature: Checks that no request that was read is lost
  The soak judges a request whose entry and server were sound and not disturbed from 3 s
  before it to its end. Planned work and a server's silence excuse nothing.

  Scenario Outline: A request that <reached> ends with <end> <waited_s> s after its last byte
    Given a sound entry and a request that <reached>
    When the request ends with <end> <waited_s> s after its last byte
    Then the checks of the soak find <faults> lost requests

    Examples:
      | reached            | end                   | waited_s | faults |
      | reached a server   | no answer             | 0.1      | 1      |
      | reached a server   | no answer             | 2.0      | 1      |
      | came to no server  | no answer             | 0.1      | 0      |
      | came to no server  | no answer             | 0.3      | 1      |
      | reached a server   | an answer             | 2.0      | 0      |
      | reached a server   | an incomplete answer  | 2.0      | 1      |
      | reached a server   | status 502            | 2.0      | 1      |
      | reached a server   | status 504            | 2.0      | 1      |
      | reached a server   | status 504            | 4.0      | 0      |
      | reached a server   | an incomplete answer  | 4.0      | 0      |
      | reached a server   | no answer             | 5.1      | 1      |
      | came to no server  | status 503            | 0.1      | 0      |
      | came to no server  | status 404            | 0.1      | 0      |
      | came to no server  | status 408            | 0.1      | 0      |

  Scenario Outline: A request ends without an answer while its server <state>
    Given a sound entry and a request that reached a server
    And a server that <state>
    When the request ends with no answer 2.0 s after its last byte
    Then the checks of the soak find <faults> lost requests

    Examples:
      | state                         | faults |
      | goes on                       | 1      |
      | has failed the request        | 0      |
      | has failed another request    | 1      |

  Scenario Outline: A request ends without an answer <calm_s> s after <disturbance> of <disturbed>
    Given a sound entry and a request that reached a server
    And <disturbance> of the <disturbed> until <calm_s> s before the request
    When the request ends with no answer 2.0 s after its last byte
    Then the checks of the soak find <faults> lost requests

    Examples:
      | disturbance     | disturbed     | calm_s | faults |
      | a disturbance   | entry         | 2.9    | 0      |
      | a disturbance   | entry         | 3.1    | 1      |
      | a disturbance   | entry         | -1.0   | 0      |
      | a disturbance   | server's link | 2.9    | 0      |
      | a disturbance   | server's link | 3.1    | 1      |
      | a disturbance   | store         | 2.9    | 0      |
      | a disturbance   | other entry   | 0.5    | 1      |
      | a planned stop  | entry         | 0.5    | 1      |

  Scenario Outline: A request written <sent_s> s after the signal of a stop ends with <end> <ended_s> s after it
    Given a planned stop of the entry that may take 8 s
    When a request is written <sent_s> s after the signal and ends with <end> at <ended_s> s, its server at work until <work_s> s
    Then the checks of the soak find <faults> lost requests

    Examples:
      | sent_s | work_s | ended_s | end                  | faults |
      | 5.0    | 8.5    | 7.6     | an incomplete answer | 1      |
      | 5.0    | 8.5    | 7.6     | status 502           | 1      |
      | 5.0    | 8.5    | 7.6     | no answer            | 1      |
      | 5.0    | 8.5    | 5.1     | status 503           | 0      |
      | 3.1    | 7.0    | 6.9     | no answer            | 1      |
      | 4.0    | 7.0    | 7.6     | no answer            | 1      |
      | 2.9    | 6.6    | 6.5     | no answer            | 1      |
      | 2.9    | 6.8    | 6.5     | no answer            | 0      |
      | 2.9    | 6.8    | 6.5     | status 502           | 0      |
      | -1.0   | 2.0    | 2.1     | an incomplete answer | 1      |

  Scenario Outline: A request that runs once is answered <status> and was run <runs> times
    When a request that runs once is answered <status> and was run <runs> times
    Then the checks of the soak find <faults> untruthful refusals

    Examples:
      | status | runs | faults |
      | 503    | 1    | 1      |
      | 429    | 1    | 1      |
      | 408    | 1    | 1      |
      | 421    | 1    | 1      |
      | 503    | 0    | 0      |
      | 502    | 1    | 0      |
      | 404    | 1    | 0      |

  Scenario Outline: A pipelined request ends without an answer behind <first>
    Given a sound entry and a request that came to no server
    And before it <first> on its connection
    When the request ends with no answer 2.0 s after its last byte
    Then the checks of the soak find <faults> lost requests

    Examples:
      | first                                       | faults |
      | a whole answer                              | 1      |
      | an incomplete answer of a sound server      | 2      |
      | an incomplete answer of a server that fails | 0      |

  Scenario: The sending side is closed behind a request
    Given a sound entry and a request that reached a server
    And a client that closes the sending side behind it
    When the request ends with no answer 2.0 s after its last byte
    Then the checks of the soak count 1 half-closed requests and find 0 lost requests
