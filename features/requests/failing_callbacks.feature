@always_2 @always_7
Feature: Errors in callbacks on the way through agents
  An unexpected error costs at most its own request, which still ends by an answer. It
  is logged and counted.

  Scenario Outline: Two requests end together and <part> fails
    Given an entry instance with 2 requests that run at its only agent
    When the next use of <part> fails as the connection to the agent is lost
    Then both callers get an answer within 0.5 s
    And the error was logged and counted once
    And a further request is answered

    Examples:
      | part                   |
      | the request metrics    |
      | the log                |
      | the end of a route     |
      | the choice of a route  |
      | the list of work       |
      | the write of an answer |

  Scenario Outline: Two requests reach their deadline together and <part> fails
    Given an entry instance with 2 requests that run at its only agent
    When the next use of <part> fails as their deadlines pass
    Then both callers get an answer within 0.5 s
    And the error was logged and counted once
    And a further request is answered

    Examples:
      | part                   |
      | the request metrics    |
      | the expiry             |
      | the write of an answer |

  Scenario Outline: A stream whose <part> fails
    Given an entry instance with a stream that has its first token
    When the next use of <part> fails as the second token comes, and the rest follows
    Then the stream <end>
    And the error was logged and counted once
    And a further request is answered

    Examples:
      | part                | end                      |
      | the write of a part | ends with an error event |
      | the token metrics   | is whole                 |
      | the token limits    | is whole                 |

  Scenario Outline: A request arrives and <part> fails
    Given an entry instance without requests
    When the next use of <part> fails as a request arrives
    Then its caller gets an answer within 0.5 s
    And the error was logged and counted once
    And a further request is answered

    Examples:
      | part                  |
      | the limits            |
      | the choice of a queue |
      | the send of work      |
      | the start of a route  |

  Scenario Outline: The timer of a process goes on after an error in <part>
    Given an entry instance with 2 requests that run at its only agent
    When the next use of <part> fails at a tick of its timer
    Then the timer goes on
    And the error was logged and counted once

    Examples:
      | part             |
      | the members      |
      | the queue        |
      | the limits' tick |

  Scenario Outline: Three attempts run at an agent and <part> fails
    Given an agent beside one engine that runs 3 attempts
    When the next use of <part> fails at the agent
    Then every attempt has ended for its entry instance
    And the agent has reported the error once

    Examples:
      | part                      |
      | the expiry of an attempt  |
      | the end of an answer      |
      | the reading of an answer  |

  Scenario Outline: Work arrives at an agent and <part> fails
    Given an agent beside one engine that runs 3 attempts
    When the next use of <part> fails as work arrives
    Then that work is refused as not run
    And the agent has reported the error once

    Examples:
      | part                |
      | the check of grants |
      | the call's start    |
