Feature: Clients that nobody controls do not end a process
  Small crowds against the real entry process. The bounds are the memory and the
  descriptors of the machine that the scenario's settings name.

  Scenario Outline: <count> clients send <form>
    Given a store and a back end with long answers
    And a machine with 80 MB of memory and 600 descriptors
    When the entry process is started
    Then it becomes ready
    When <count> clients each send <form>
    Then the process lives and its peak memory is below 80 MB
    And it has at most 400 descriptors open
    And an ordinary request is answered when the crowd has left

    # 200 of the descriptors are kept for files.
    Examples:
      | count | form                                                            |
      | 240   | heads of short lines that do not end                            |
      | 240   | heads of odd lines that do not end                              |
      | 240   | heads of short lines and bodies that stop                       |
      | 100   | heads that come byte by byte                                    |
      | 160   | bodies in chunks of one byte that stop                          |
      | 240   | bodies in chunks of 64 KB that stop                             |
      | 240   | bodies with a length that stop                                  |
      | 240   | bodies whose sender has closed its side                         |
      | 240   | bodies that wait for an interim answer and stop                 |
      | 240   | trailers that do not end                                        |
      | 240   | many requests at once on each connection                        |
      | 240   | bodies of one client account from many addresses                |
      | 240   | requests for long answers that nobody reads                     |
      | 240   | requests for long streams that nobody reads                     |
      | 450   | nothing at all                                                  |
      | 240   | a whole head of short lines, read their answers and stay idle   |
      | 240   | a refused head of short lines, read their answers and stay idle |
      | 240   | whole heads of short lines again and again                      |
      | 240   | refused heads of short lines again and again                    |
      | 240   | requests for long answers that are read slowly                  |
      | 240   | requests for long streams that are read slowly                  |

  Scenario: A single request of legal size with a head of short lines is answered
    Given a store and a back end with long answers
    And a machine with 80 MB of memory and 600 descriptors
    When the entry process is started
    Then it becomes ready
    And a request with 15,500 bytes of header lines of 5 bytes is answered
