Feature: Clients that nobody controls do not end a process through its other ports
  Small crowds at the ports for readiness, metrics and peers. The bounds are the memory
  and the descriptors of the machine that the scenario's settings name.

  Scenario Outline: At the readiness port of an entry, <count> strangers send <form>
    Given a store and a back end with long answers
    And a machine with 80 MB of memory and 600 descriptors
    When the entry process is started
    Then it becomes ready
    When <count> strangers each send <form> to the readiness port
    Then the process lives and its peak memory is below 80 MB
    And it has at most 400 descriptors open
    And its readiness page is answered while the crowd stays
    And a message of a real peer is taken when the crowd has left
    And an ordinary request is answered when the crowd has left

    # 200 of the descriptors are kept for files.
    Examples:
      | count | form                                              |
      | 450   | nothing at all                                    |
      | 240   | heads of short lines that do not end              |
      | 240   | bytes that are no message                         |
      | 240   | bodies with a length that stop                    |
      | 240   | paths that do not end                             |
      | 240   | one request for the metrics that it does not read |
      | 240   | many requests for the metrics at once             |

  Scenario Outline: At the metrics port of an entry, <count> strangers send <form>
    Given a store and a back end with long answers
    And a machine with 80 MB of memory and 600 descriptors
    When the entry process is started
    Then it becomes ready
    When <count> strangers each send <form> to the metrics port
    Then the process lives and its peak memory is below 80 MB
    And it has at most 400 descriptors open
    And its readiness page is answered while the crowd stays
    And a message of a real peer is taken when the crowd has left
    And an ordinary request is answered when the crowd has left

    # 200 of the descriptors are kept for files.
    Examples:
      | count | form                                              |
      | 450   | nothing at all                                    |
      | 240   | heads of short lines that do not end              |
      | 240   | bytes that are no message                         |
      | 240   | bodies with a length that stop                    |
      | 240   | paths that do not end                             |
      | 240   | one request for the metrics that it does not read |
      | 240   | many requests for the metrics at once             |

  Scenario Outline: At the peer port of an entry, <count> strangers send <form>
    Given a store and a back end with long answers
    And a machine with 80 MB of memory and 600 descriptors
    When the entry process is started
    Then it becomes ready
    When <count> strangers each send <form> to the peer port
    Then the process lives and its peak memory is below 80 MB
    And it has at most 400 descriptors open
    And its readiness page is answered while the crowd stays
    And a message of a real peer is taken when the crowd has left
    And an ordinary request is answered when the crowd has left

    # 200 of the descriptors are kept for files.
    Examples:
      | count | form                                       |
      | 450   | nothing at all                             |
      | 240   | heads of short lines that do not end       |
      | 240   | bytes that are no message                  |
      | 240   | first messages that stop                   |
      | 450   | a hello and nothing more                   |
      | 100   | a hello and a message that stops           |
      | 20    | a hello and a message of empty parts       |
      | 240   | many hellos at once                        |
      | 240   | requests for records that it does not read |

  Scenario Outline: At the metrics port of an agent, <count> strangers send <form>
    Given a store and a back end with long answers
    And a machine with 80 MB of memory and 600 descriptors
    When the agent process is started
    Then it logs "started"
    When <count> strangers each send <form> to the metrics port
    Then the process lives and its peak memory is below 80 MB
    And it has at most 400 descriptors open
    And its metrics page is answered while the crowd stays
    And a message of a real peer is taken when the crowd has left
    And the process still runs

    # 200 of the descriptors are kept for files.
    Examples:
      | count | form                                              |
      | 450   | nothing at all                                    |
      | 240   | heads of short lines that do not end              |
      | 240   | bytes that are no message                         |
      | 240   | bodies with a length that stop                    |
      | 240   | paths that do not end                             |
      | 240   | one request for the metrics that it does not read |
      | 240   | many requests for the metrics at once             |

  Scenario Outline: At the peer port of an agent, <count> strangers send <form>
    Given a store and a back end with long answers
    And a machine with 80 MB of memory and 600 descriptors
    When the agent process is started
    Then it logs "started"
    When <count> strangers each send <form> to the peer port
    Then the process lives and its peak memory is below 80 MB
    And it has at most 400 descriptors open
    And its metrics page is answered while the crowd stays
    And a message of a real peer is taken when the crowd has left
    And the process still runs

    # 200 of the descriptors are kept for files.
    Examples:
      | count | form                                       |
      | 450   | nothing at all                             |
      | 240   | heads of short lines that do not end       |
      | 240   | bytes that are no message                  |
      | 240   | first messages that stop                   |
      | 450   | a hello and nothing more                   |
      | 100   | a hello and a message that stops           |
      | 20    | a hello and a message of empty parts       |
      | 240   | many hellos at once                        |
      | 240   | requests for records that it does not read |
