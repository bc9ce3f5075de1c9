Feature: Spreading the accepted configuration
  An accepted configuration is in force everywhere within seconds and never reverts.

  @always_7
  Scenario Outline: A change comes into force everywhere despite <fault>
    Guards against instances that go on with an older configuration.
    Given a table deployment of 3 data centres
    When a change is accepted and there is <fault>
    Then the accepted change is in force at every running process within 8 s
    And no process went back to an older version

    Examples:
      | fault                                               |
      | no fault                                            |
      | the death of every poller                           |
      | the death of every poller and its replacement       |
      | a pause of every poller for 30 s                    |
      | no way from any poller to the table service         |
      | a pause of every agent for 5 s                      |
      | a partition of two data centres from the platform   |
      | a partition of one data centre for 4 s              |
      | a partition between the data centres                |
      | an outage of the table service for 3 s              |
      | a restart of every agent                            |
      | the loss of half of all messages                    |
      | clocks that differ                                  |

  @always_7
  Scenario Outline: A message that is <kind> changes nothing
    Guards against a configuration that reverts, or that nobody accepted.
    Given a table deployment of 3 data centres
    And a second and a third version in force
    When a process gets a configuration that is <kind>
    Then it still has version 3 with the accepted content
    And a further change is in force at every running process within 8 s

    Examples:
      | kind                                    |
      | older                                   |
      | repeated                                |
      | of the same version with other content  |
      | a difference to an older version        |
      | a difference that was sent again        |
      | a difference from an unknown version    |
      | a difference with a wrong digest        |
      | a malformed difference                  |
      | malformed                               |
      | a number without content                |

  @always_7
  Scenario Outline: A new process starts during <fault>
    Guards against a new process that takes work without a configuration or with an
    older one.
    Given a table deployment of 3 data centres
    And a second and a third version in force
    When two processes are replaced during <fault>
    Then the new processes <result>

    Examples:
      | fault                                                | result                              |
      | no fault                                             | are ready with version 3 within 1 s |
      | an outage of the table service                       | are ready with version 3 within 1 s |
      | a restore of the table service to version 1          | are ready with version 3 within 1 s |
      | a restore to version 1 while no peer answers at once | are ready with version 3 within 3 s |
      | an outage while no peer answers                      | are not ready within 20 s           |

  @always_7
  Scenario Outline: A table service restored to an older state <detail>
    Guards against a fleet that follows a restored table service back.
    Given a table deployment of 3 data centres
    And a second and a third version in force
    When the table service loses its newest versions and <detail>
    Then an alert <alert> is raised in every data centre
    And every process still has version 3 with the accepted content

    Examples:
      | detail                                       | alert                 |
      | nothing else happens                         | table_service_behind  |
      | every process but one per data centre restarts | table_service_behind  |
      | another version 3 is recorded                | table_service_differs |
      | everything is lost                           | table_service_behind  |

  Scenario Outline: The table service gets a bounded number of requests during <fault>
    Guards against a fleet that overloads the table service when it fails.
    Given a large table deployment of 2 data centres
    When the table service is watched for 20 s during <fault>
    Then it gets at most <limit> requests a second in each data centre

    Examples:
      | fault                           | limit |
      | no fault                        | 3.2   |
      | an outage                       | 6.5   |
      | the death of every poller       | 3.5   |
      | slow answers                    | 6.5   |

  Scenario: A data centre without pollers polls again soon
    Guards against a data centre that stops polling when its pollers die together.
    Given a large table deployment of 2 data centres
    When every poller dies together
    Then each data centre polls again within 4 s

  Scenario: A small change is sent as a difference and a large one as a whole
    Guards against control traffic that grows with the table.
    Given a table deployment of 3 data centres with 60 rows
    When one row changes
    Then configurations take less than 4 kB for each process
    When every row changes
    Then the larger change is sent as whole configurations
    And every process has the recorded content

  Scenario Outline: The status shows <fault>
    Guards against an operator who cannot see where a change is not in force.
    Given a table deployment of 3 data centres
    When an operator asks for the status after <fault>
    Then the status of dc2 shows <status>

    Examples:
      | fault                               | status                               |
      | no fault                            | version 2 and no problem             |
      | a partition of dc2                  | a partition                          |
      | a partition of dc2 and the platform | version 2 and no poll                |
      | the death of an instance of dc2     | version 2 and an unreachable instance |
      | a pause of an instance of dc2       | version 1 and a lagging instance     |
      | a new instance of dc2               | an instance that is not ready        |
