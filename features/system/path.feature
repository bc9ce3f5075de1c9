@processes
Feature: The whole path through separate processes
  Each scenario runs against the same deployment of real processes on loopback.

  @always_1
  Scenario: A version change under load gives no mixed and no lost answer
    Given a deployment that serves version "v1"
    When requests run without pause while version "v2" is published and accepted
    Then every answer is whole and from one version
    And the last answers are from version "v2"

  @always_2
  Scenario Outline: A stream is whole when its endpoint suffers a <fault>
    Given a deployment that serves version "v1"
    When the endpoint of a stream suffers a <fault>
    Then the caller has every token of the stream once

    Examples:
      | fault  |
      | kill   |
      | freeze |
      | stop   |

  @always_3
  Scenario Outline: A call that is told "not run" has not run: <fault>
    Given a deployment that serves version "v1"
    When 20 once-only calls meet the fault <fault>
    Then no call that was told "not run" was executed
    And no call was executed twice

    Examples:
      | fault                      |
      | table service down         |
      | table service answers lost |
      | service closes at once     |
      | service answer lost        |

  @always_4
  Scenario: A once-only call is not executed again after its entry was killed
    Given a deployment that serves version "v1"
    When an entry is killed while a slow once-only call runs and the caller repeats it
    Then the call was executed at most once
    And the repeated call was told that it may have run, or its result

  @always_5
  Scenario Outline: A leaving endpoint gets no new work, <state of the store>
    Given a deployment that serves version "v1"
    When an endpoint is removed from the table, <state of the store>
    Then its last new work began less than 3 s after the acceptance

    Examples:
      | state of the store                         |
      | with the table service up                  |
      | with the table service down after the write |

  @always_6
  Scenario Outline: A planned stop of an <role> cuts no stream
    Given a deployment that serves version "v1"
    When an <role> is stopped during streams
    Then every stream is whole and the process exits with code 0

    Examples:
      | role  |
      | agent |
      | entry |

  @always_7
  Scenario Outline: An accepted version is in force everywhere, <fault>
    Given a deployment that serves version "v1"
    When a table is accepted, <fault>
    Then every process has the accepted version in force within 8 s
    And no process reports a lower version afterwards

    Examples:
      | fault                                      |
      | without a fault                            |
      | while the answer to the write is lost      |
      | while another operator accepts             |
      | and the table service goes down at once    |
      | and an agent is replaced during the outage |

  Scenario: No process reported an internal error in the scenarios before
    Given a deployment that serves version "v1"
    When the metrics of every process are read
    Then no process has logged an internal error
