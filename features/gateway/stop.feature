Feature: Requests during the planned stop of an entry process
  The process is killed 8 s after the stop signal. A request that was read has a whole
  answer by then, or a refusal that is true. One that cannot end in time is refused when
  it arrives, so that its client goes to another instance.

  @always_6
  Scenario Outline: A request is cut at the end of the grace period: it <kind>, whole at <whole_s> s, limit <limit_s> s, work <known>
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of <limit_s> s and work of <work_s> s that is <known>
    When it is stopped, and a request on an open connection is whole <whole_s> s later
    And the endpoint takes its time and the grace period passes
    Then the late caller gets <outcome>

    Examples:
      | kind                | whole_s | limit_s | work_s | known   | outcome     |
      | may repeat          | 0.5     | 20      | 3.5    | known   | the answer  |
      | may repeat          | 3.0     | 20      | 3.5    | known   | the answer  |
      | may repeat          | 4.0     | 20      | 3.5    | known   | 503 at once |
      | may repeat          | 5.0     | 20      | 3.5    | known   | 503 at once |
      | may repeat          | 5.8     | 20      | 3.5    | known   | 503 at once |
      | runs once only      | 0.5     | 20      | 3.5    | known   | the answer  |
      | runs once only      | 3.0     | 20      | 3.5    | known   | the answer  |
      | runs once only      | 4.0     | 20      | 3.5    | known   | 503 at once |
      | runs once only      | 5.0     | 20      | 3.5    | known   | 503 at once |
      | runs once only      | 5.8     | 20      | 3.5    | known   | 503 at once |
      | runs once only      | 5.8     | 20      | 1.0    | known   | 503 at once |
      | runs once only      | 5.8     | 1.5     | 1.0    | known   | the answer  |
      | streams once        | 5.4     | 4       | 1.0    | known   | 503 at once |
      | runs once only      | 5.0     | 2       | 1.0    | unknown | the answer  |
      | runs once only      | 5.8     | 2       | 1.9    | unknown | 503 at once |
      | runs once only      | 0.0     | 20      | 3.5    | unknown | 503 at once |
      | runs once only      | 0.0     | 7       | 3.5    | unknown | the answer  |
      | runs once only      | 7.7     | 2       | 0.1    | known   | 503 at once |
      | streams once        | 3.0     | 20      | 3.5    | known   | the stream  |
      | streams once        | 4.0     | 20      | 3.5    | known   | 503 at once |
      | streams once        | 5.0     | 20      | 3.5    | known   | 503 at once |
      | streams once        | 5.8     | 20      | 3.5    | known   | 503 at once |
      | streams and resumes | 3.0     | 20      | 3.5    | known   | the stream  |
      | streams and resumes | 4.0     | 20      | 3.5    | known   | 503 at once |
      | streams and resumes | 5.8     | 20      | 3.5    | known   | 503 at once |

  @always_6
  Scenario Outline: A request that has not run is held until it is cut: it <kind> and <situation>
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped while a request <situation>
    And the endpoint takes its time and the grace period passes
    Then the late caller gets 503 before it is too late for others

    Examples:
      | kind                | situation                                                            |
      | may repeat          | waits for an endpoint                                                |
      | runs once only      | waits for an endpoint                                                |
      | streams once        | waits for an endpoint                                                |
      | may repeat          | comes while another has waited for 2 s                               |
      | runs once only      | is being dialled                                                     |
      | streams once        | is being dialled                                                     |
      | may repeat          | is refused as full by one endpoint at 4.5 s                          |
      | streams and resumes | is refused as full by one endpoint at 4.5 s                          |
      | may repeat          | is refused as full by one endpoint at 4.5 s while another is dialled |

  @always_6
  Scenario Outline: An answer is cut because its client reads slowly: <answer>
    Given an entry process that is killed 8 s after its stop signal
    And a route that runs once only, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped, and a slow client has <answer> unread until 7.8 s
    Then the process ends after its client has read it, within the grace period

    Examples:
      | answer               |
      | an answer from 5.0 s |
      | a failure at the end |

  @always_6
  Scenario: A client that never reads does not hold the process until it is killed
    Given an entry process that is killed 8 s after its stop signal
    And a route that runs once only, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped, and a slow client has an answer from 5.0 s unread until 9.0 s
    Then the process ends by itself within the grace period

  @always_6
  Scenario Outline: An answer is ready when the process goes on after a freeze from <from_s> s to <until_s> s
    Given an entry process that is killed 8 s after its stop signal
    And a route that runs once only, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped with a request in progress, and frozen from <from_s> s to <until_s> s
    Then the answer that came meanwhile reaches its caller within the grace period

    Examples:
      | from_s | until_s |
      | 3.0    | 7.7     |
      | 7.0    | 7.7     |
      | 7.4    | 7.85    |

  @always_6
  Scenario Outline: A process that wakes <until_s> s after its stop ends before its clients are told
    Given an entry process that is killed 8 s after its stop signal
    And a route that runs once only, with a limit of 20 s and work of 3.5 s that is known
    When it is stopped with a request in progress, and frozen from 3.0 s to <until_s> s without an answer
    Then the caller is told that its call may have run, in a turn before the process ends

    Examples:
      | until_s |
      | 7.7     |
      | 7.85    |
      | 7.95    |

  Scenario Outline: The time that a call may take, after <answers>, at <now_s> s with a limit of <limit_s> s
    Given a service that gave whole answers in <answers>
    Then a call with a limit of <limit_s> s may take <needed_s> s at <now_s> s

    Examples:
      | answers                     | now_s | limit_s | needed_s |
      | no time                     | 0     | 20      | 20       |
      | 2.0 s at 0 s, 1.0 s at 10 s | 20    | 20      | 2.5      |
      | 2.0 s at 0 s                | 50    | 1       | 1        |
      | 2.0 s at 0 s, 1.0 s at 70 s | 80    | 20      | 2.5      |
      | 2.0 s at 0 s, 1.0 s at 70 s | 131   | 20      | 1.25     |
      | 2.0 s at 0 s                | 121   | 20      | 20       |

  Scenario: A connection that is open too late for its call in a stop is used twice
    Given a gateway with 1 endpoints and a route that may repeat
    When a stop leaves 1 s for a call of 2 s whose connection opens then
    Then the caller is refused and the connection is closed
    And no unexpected error was counted

  # A stream that was taken by the times of earlier ones outlasted the stop; the request
  # behind it, read whole, had neither an answer nor a refusal.
  @always_6
  Scenario Outline: A request behind a long answer is lost in a stop: it <kind>, <behind>
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of 6 s and work of 1 s that is known
    When it is stopped, and 2.5 s later two requests come <behind>, the first for 5.4 s
    Then each of the two has a whole answer or a refusal

    Examples:
      | kind                | behind                             |
      | streams once        | together                           |
      | streams and resumes | together                           |
      | runs once only      | together                           |
      | streams once        | while the first is being dialled   |

  # The 3 s in which a stopping process takes calls by the times of earlier answers were
  # counted from the turn of the event loop that began the stop, and ended by a timer.
  @always_6
  Scenario Outline: A request that comes over 3 s after the signal is cut: it <kind>, the stop begins <late_s> s late
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of 6 s and work of 1 s that is known
    When it is signalled while its event loop is held up for <late_s> s, and a request is whole <whole_s> s after the signal
    Then the late caller has a whole answer or 503, though it takes 7 s

    Examples:
      | kind                | late_s | whole_s |
      | streams once        | 0.15   | 3.1     |
      | streams and resumes | 0.15   | 3.1     |
      | runs once only      | 0.15   | 3.1     |
      | may repeat          | 0.15   | 3.1     |
      | streams once        | 0.4    | 3.1     |
      | streams once        | 0.4    | 3.35    |
      | runs once only      | 0.4    | 3.35    |

  @always_6
  Scenario Outline: A request that comes over 3 s after the signal is cut: it <kind>, a timer is late
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of 6 s and work of 1 s that is known
    When it is signalled, and its event loop is held up from 2.95 s until a request is whole <whole_s> s after the signal
    Then the late caller has a whole answer or 503, though it takes 7 s

    Examples:
      | kind                | whole_s |
      | streams once        | 3.05    |
      | streams and resumes | 3.2     |
      | runs once only      | 3.2     |
      | may repeat          | 3.4     |

  # A stopping process read requests behind a call that it had already sent; when that
  # call outlasted the stop, they ended with its connection.
  @always_6
  Scenario Outline: A request behind a call that was sent is lost in a stop: it <kind>, <behind>
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of 6 s and work of 1 s that is known
    When it is stopped, its client sends a request 2 s later that takes 5.9 s, and another one <behind>
    Then the other request is answered or refused, or was never read

    Examples:
      | kind                | behind          |
      | streams once        | before its head |
      | streams once        | behind its head |
      | streams and resumes | before its head |
      | runs once only      | before its head |
      | may repeat          | before its head |

  @always_6
  Scenario Outline: A request behind a call that ends in a stop is answered: it <kind>
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of 6 s and work of 1 s that is known
    When it is stopped, its client sends a request 2 s later that takes 1.5 s, and another one before its head
    Then the other request is answered or refused

    Examples:
      | kind           |
      | streams once   |
      | runs once only |

  # Connections are not read behind a call in a stop, so that nothing else tells.
  @always_6
  Scenario: A client that leaves during a stop is noticed though it is not read
    Given an entry process that is killed 8 s after its stop signal
    And a route that may repeat, with a limit of 6 s and work of 1 s that is known
    When it is stopped while a call is in progress, whose client leaves 1 s later
    Then the call is cancelled at its endpoint within 0.2 s

  @always_6
  Scenario Outline: A client that leaves behind <sent> during a stop goes unnoticed
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of 6 s and work of 1 s that is known
    When it is stopped while a call is in progress, whose client sends <sent> and leaves 1 s later
    Then the call is cancelled at its endpoint within 0.2 s

    Examples:
      | kind                | sent                     |
      | may repeat          | a part of a request      |
      | may repeat          | another request          |
      | streams and resumes | another request          |
      | may repeat          | more than one read takes |

  Scenario Outline: The end of a connection is hidden by bytes that were not read: <how>
    Given a loopback connection with unread bytes
    When the other side <how>
    Then it is known to be ended, and was not before

    Examples:
      | how                      |
      | closes it                |
      | closes its sending side  |
      | resets it                |

  # The time limit of a request that is read late counts from the earliest time at which
  # it may have come, so that it may be cut before its limit.
  @always_6
  Scenario Outline: A stream that was read late is cut before its time limit: it <kind>, <late_s> s late
    Given an entry process that is killed 8 s after its stop signal
    And a route that <kind>, with a limit of <limit_s> s and work of 1 s that is known
    When it is stopped, and its event loop is held up for <late_s> s until a request is whole <whole_s> s later
    Then the late caller has a whole answer or 503, or is cut at its limit of <limit_s> s, though it takes 7 s

    Examples:
      | kind                | limit_s | late_s | whole_s |
      | streams once        | 4.2     | 0.4    | 3.7     |
      | streams and resumes | 4.2     | 0.4    | 3.7     |
      | streams once        | 3.8     | 0.4    | 3.7     |
      | streams and resumes | 3.8     | 0.25   | 3.5     |

  @always_6
  Scenario Outline: An error in <part> holds up a stop
    Given an entry process that is killed 8 s after its stop signal
    And a route that may repeat, with a limit of 20 s and work of 1 s that is known
    When it is stopped while a call is in progress, and <part> raises an error
    Then the caller is told that its call may have run, and the process ends by itself

    Examples:
      | part                        |
      | the pause of connections    |
      | the check of connections    |
      | the report of aborted calls |
