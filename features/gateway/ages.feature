Feature: Ages of messages from processes whose clocks have nothing in common
  A statement counts from when it was made, not from when it is read.

  Scenario Outline: A report looks younger than it is, <case>
    Given a peer whose clock is 500 s behind
    When it echoes reports that were <echoes>
    And a report of it at <time> s is read <waited> s later
    Then the report counts as between <waited> and <most> s old

    Examples:
      | case                          | echoes                                 | time | waited | most |
      | on an empty path              | 0.02 s under way at 10                 | 11   | 0.02   | 0.05 |
      | after it waited in a socket   | 0.02 s under way at 10                 | 11   | 3.6    | 3.63 |
      | first echo late               | 1.5 s under way at 10                  | 11   | 0.02   | 1.53 |
      | first echo late, then not     | 1.5 s under way at 10, 0.02 s under way at 12 | 13 | 0.5 | 0.53 |
      | last echo late                | 0.02 s under way at 10, 1.5 s under way at 12 | 13 | 0.5 | 0.53 |
      | after a minute without echoes | 0.02 s under way at 10                 | 70   | 0.5    | 0.54 |

  Scenario Outline: A report counts as young although the clocks are not known: <case>
    Given a peer whose clock is 500 s behind
    When it echoes reports that were 0.02 s under way at 10
    And <case>
    And a report of it at 12 s is read 0.02 s later
    Then the age of the report is not known

    Examples:
      | case                                          |
      | it connects anew                              |
      | it connects anew and its first echo is not a number |
      | it connects anew and its first echo is infinite |
      | it connects anew and its first echo is of a report not sent yet |
      | its clock jumps ahead by 60 s                 |

  Scenario: Echoes of many senders take no more memory than their limit
    Given a peer whose clock is 500 s behind
    When 3000 others echo reports and send some
    Then the clocks of 2000 senders are kept, and 2000 rejections are counted

  Scenario Outline: A path looks late or early because of the clock that a peer had before <case>
    Given the measured path from a peer of an entry process
    When <case>
    Then the next report on the path counts as 0.0 s late

    Examples:
      | case                                     |
      | it connects anew with a clock 30 s ahead |
      | it connects anew with a clock 30 s behind |
      | it sends a report at a time that is not a number |

  Scenario Outline: A peer's word of the store counts from its arrival <case>
    Given an entry process whose peer connects anew
    When its peer has echoed a report <case>
    And a report of it, that the store answered 0.1 s before, is 1.5 s under way
    Then the state of the store counts as known as of <least> to <most> s ago

    Examples:
      | case                            | least | most |
      | over an empty path              | 1.6   | 1.63 |
      | over a path with 0.5 s of queue | 1.6   | 2.13 |
