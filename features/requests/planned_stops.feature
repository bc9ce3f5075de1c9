@always_2 @always_6
Feature: Answers that are written when a planned stop ends
  An answer that was written to a connection has to reach a caller that reads slowly.

  Scenario: A large answer to a slow caller outlasts the end of the last request
    Given an entry process with an HTTP port and a caller that does not read
    When its large answer was written and the process is stopped
    Then the process runs on while the answer is not sent
    When the caller reads
    Then it gets the whole answer and the process ends within 1.0 s

  Scenario: A caller that never reads does not hold up a planned stop
    Given an entry process with an HTTP port and a caller that does not read
    When its large answer was written and the process is stopped
    Then the process ends by its drain limit

  Scenario: An idle connection does not hold up a planned stop
    Given an entry process with an HTTP port and a caller that does not read
    When the process is stopped without a request
    Then the process ends within 2.0 s of the stop
