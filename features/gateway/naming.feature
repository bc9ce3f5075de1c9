Feature: Instances that learn of new weights over hops that are late or lost
  The operator's version counts from the store's acknowledgement. An instance knows of it
  by its own read of the store and by reports of its peers, each of which may have waited
  in a queue, at the sender or in the own sockets. Calls are sent to a new version only
  from 6.8 s after its naming on, and calls that wait elsewhere are withdrawn from 7.75 s
  on, so that none begins later than the allowed 8 s after it.

  @always_1
  Scenario Outline: A call begins on old weights too late after version 2 was named <named> s into a poll: <trouble>
    Given 4 entry instances, of which e-1 and e-2 read the store
    When version 2 is named <named> s into a poll while "<trouble>"
    Then no instance sends a call to version 1 later than 6.8 s after the naming
    And no instance leaves a call waiting at version 1 later than 7.75 s after the naming
    And instance <calm> still sends calls to version 1 <before> s after the naming

    # An instance that was out of touch may count from its last answer before that.
    Examples: nothing is late
      | named | calm | before | trouble |
      | 0.0   | e-1  | 5.6    |         |
      | 0.5   | e-1  | 5.6    |         |
      | 0.9   | e-4  | 5.6    |         |

    Examples: an instance stands still over the naming and is back
      | named | calm | before | trouble                                                                  |
      | 0.0   | e-2  | 5.6    | e-1 is frozen from -0.3 to 3.3                                           |
      | 0.9   | e-2  | 5.6    | e-1 is frozen from -0.3 to 3.3                                           |
      | 0.0   | e-1  | 5.6    | e-4 is frozen from -0.3 to 3.3                                           |
      | 0.5   | e-1  | 5.6    | e-4 is frozen from -0.3 to 3.3; reports to e-4 are lost from 2.6 to 20   |
      | 0.0   | e-2  | 5.6    | e-1 is frozen from -0.3 to 3.3; reports to e-1 are lost from 2.6 to 20   |
      | 0.9   | e-2  | 5.6    | e-1 is frozen from -0.3 to 3.3; reports to e-1 are lost from -0.1 to 20  |
      | 0.2   | e-2  | 5.6    | e-1 is frozen from -0.3 to 1.1                                           |
      | 0.5   | e-2  | 5.6    | e-1 is frozen from -0.3 to 1.1; reports to e-1 are lost from -0.1 to 20  |
      | 0.5   | e-2  | 5.6    | e-1 is frozen from -0.3 to 1.1; e-4 is frozen from 0.2 to 1.4            |
      | 0.5   | e-4  | 4.0    | e-1 is frozen from -0.3 to 3.3; e-2 is frozen from -0.3 to 3.3           |

    Examples: a hop is late or lost
      | named | calm | before | trouble                                                                  |
      | 0.5   | e-3  | 5.6    | answers of the store to e-1 are 1.5 s late from -0.7 to 3                |
      | 0.5   | e-3  | 4.0    | answers of the store to all are 0.7 s late from -3 to 3                  |
      | 0.5   | e-3  | 4.0    | answers of the store to all are lost from -0.6 to 1                      |
      | 0.0   | e-1  | 5.6    | reports to e-4 are 1.5 s late from -0.7 to 20                            |
      | 0.5   | e-1  | 5.6    | reports to e-4 are lost from -0.1 to 1                                   |
      | 0.5   | e-2  | 5.6    | reports to all are lost from -0.5 to 20                                  |
      | 0.5   | e-1  | 5.6    | reports to e-4 are 2 s late from -3 to 4; e-4 is frozen from -0.3 to 1.5 |
      | 0.5   | e-1  | 5.6    | e-4 is cut off from -0.3 to 3                                            |
      | 0.5   | e-2  | 5.6    | e-1 is cut off from -0.3 to 3                                            |
      | 0.5   | e-1  | 5.6    | e-4 restarts at 2                                                        |
      | 0.5   | e-2  | 5.6    | e-1 restarts at 2                                                        |
      | 0.5   | e-2  | 5.6    | e-1 restarts at 2; reports to e-1 are 1.5 s late from 1.5 to 20          |
      | 0.5   | e-1  | 5.6    | e-4 connects anew at -0.1; reports to e-4 are 1.5 s late from -0.2 to 3  |

  @always_1
  Scenario Outline: A call begins on old weights too late at an instance without peers after version 2 was named <named> s into a poll: <trouble>
    Given 1 entry instances, of which e-1 and e-2 read the store
    When version 2 is named <named> s into a poll while "<trouble>"
    Then no instance sends a call to version 1 later than 6.8 s after the naming
    And no instance leaves a call waiting at version 1 later than 7.75 s after the naming
    And instance e-1 still sends calls to version 1 <before> s after the naming

    Examples:
      | named | before | trouble                                                  |
      | 0.0   | 5.6    |                                                          |
      | 0.9   | 5.6    |                                                          |
      | 0.0   | 4.4    | e-1 is frozen from -0.3 to 3.3                           |
      | 0.9   | 4.4    | e-1 is frozen from -0.3 to 3.3                           |
      | 0.02  | 4.4    | e-1 is frozen from -0.07 to 1.1                          |
      | 0.1   | 4.4    | e-1 is frozen from -0.2 to 1.1                           |
      | 0.5   | 4.4    | answers of the store to all are 0.7 s late from -3 to 20 |
      | 0.5   | 4.4    | answers of the store to all are lost from -0.6 to 1      |

  Scenario: An instance that is back logs the naming for each report that waited in its sockets
    Given 4 entry instances, of which e-1 and e-2 read the store
    When version 2 is named 0.5 s into a poll while "e-1 is frozen from -0.3 to 3.3"
    Then instance e-1 has logged the naming of version 2 at most 3 times

  Scenario Outline: An instance that takes records from peers refuses old weights for a moment: <trouble>
    Given 4 entry instances, of which e-1 and e-2 read the store
    When version 2 is named 0.5 s into a poll while "<trouble>"
    Then instance e-4 requires version 2 at no time before 2.8 s after the naming

    # The last report before a freeze of 3.4 s is up to 4 s old after it.
    Examples:
      | trouble                                                   |
      | e-4 connects anew at 0.1                                  |
      | e-4 is frozen from -3 to 0.4; e-4 connects anew at 0.4    |
