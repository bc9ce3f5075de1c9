Feature: A crowd of clients does not hold the event loop up
  The listener with connections of clients, without sockets. A turn of the event loop
  brings each connection what its client sent, and runs the timers that are due.

  # 1,000 clients that sent many header lines held the event loop up for seconds.
  Scenario Outline: 100 clients send <form> again and again
    Given a listener with 100 connections of a crowd and an ordinary one
    When the crowd sends <form> again and again for 20 turns
    # The bound is what two heads of legal size hold.
    Then no turn parses more than 8192 lines and parts of bodies
    And each ordinary request is answered within 3 turns
    And the crowd's last requests are answered when nothing more is sent

    Examples:
      | form                              |
      | heads of short lines              |
      | heads of odd lines                |
      | bodies in chunks of one byte      |
      | heads of short lines, in 3 pieces |

  Scenario: A single head of many short lines is answered in the turn in which it comes
    Given a listener with 1 connections of a crowd and an ordinary one
    When the crowd sends heads of short lines again and again for 1 turns
    Then every request of the crowd is answered

  Scenario: A head that waits for its turn beyond its time-out has not run
    Given a listener with 100 connections of a crowd and an ordinary one
    When a head in 2 pieces waits behind those of the crowd for 3 s
    Then it is answered with 503 "not run"

  # Sound endpoints were ejected for dials that timed out in a stalled event loop.
  Scenario Outline: A dial that fails <delay> s after it began, in one turn, and <state>
    Given a gateway with 2 endpoints and a route that may repeat
    When a call's dial times out <delay> s after it began, in one turn of the loop
    Then the endpoint of that dial <state>

    Examples:
      | delay | state          |
      | 0.2   | is ejected     |
      | 0.9   | is not ejected |
