Feature: Chunks divide evenly over owners and regions
  The owner with most chunks, or the link with most traffic, decides how long a version
  takes.

  Scenario Outline: <chunks> chunks on <machines> machines in <regions> regions
    Given the placement of <chunks> chunks on <machines> machines in <regions> regions
    Then no owner takes more than its part of the chunks from the origin
    And no owner takes more than its part of the chunks from other regions
    And every machine computes the same placement

    Examples:
      | chunks | machines | regions |
      | 48     | 14       | 3       |
      | 48     | 7        | 3       |
      | 48     | 2        | 2       |
      | 3      | 12       | 3       |
      | 100    | 1        | 1       |

  Scenario: A chunk that another task stored counts as held
    Given a transfer of 4 chunks that has begun
    When another task stores a chunk and the origin sends it once more
    Then the transfer counts the chunk as held

  Scenario: Chunks of all regions share the rate of the machine's link
    Given an upload queue for 100 kB/s with 4 local and 4 remote chunks of 10 kB
    When 0.5 s pass
    Then at most 6 chunks were sent

  Scenario: On a slow link the chunk that was sent least goes first
    Given an upload queue for 100 kB/s on a link of 20 kB/s
    When 6 peers ask for chunk "a" and then 2 for chunk "b", 10 kB each
    Then chunk "b" is sent before chunk "a" is sent for the 4th time

  Scenario: On a link that keeps up chunks are sent in the order of the requests
    Given an upload queue for 100 kB/s on a link of 100 kB/s
    When 6 peers ask for chunk "a" and then 2 for chunk "b", 10 kB each
    Then the chunks are sent in the order of the requests

  Scenario: A peer that takes nothing does not hold the others up
    Given an upload queue for 100 kB/s on a link of 100 kB/s
    And the peer "frozen" takes nothing and asked for 4 chunks of 10 kB
    When 6 peers ask for chunk "a" and then 2 for chunk "b", 10 kB each
    Then all 8 chunks for the other peers are sent within 3.5 s
    And the upload queue refuses more requests of the peer "frozen"

  Scenario Outline: Chunks that may come at a time when they come at <rates> kB/s
    Given a receive window of 3 chunks of 49 kB and 0.3 s
    When chunks come at <rates> kB/s
    Then <chunks> chunks may be on their way

    # Requests to the machine wait behind them; a link may be squeezed to a quarter.
    Examples:
      | rates                   | chunks |
      | no                      | 1      |
      | 470, 470                | 3      |
      | 300, 300                | 2      |
      | 600, 600                | 3      |
      | 150, 150                | 1      |
      | 600, 150, 150, 150, 150, 150 | 1      |
      | 150, 150, 600           | 3      |

  Scenario Outline: Chunks that share a link of <rate> kB/s and arrive together
    Given a receive window of 3 chunks of 49 kB and 0.3 s
    When <count> chunks share a link of <rate> kB/s and waited <waited> s at their sources
    Then <chunks> chunks may be on their way

    # The time between two arrivals is short, also on a narrow link.
    Examples:
      | count | rate | waited | chunks |
      | 3     | 150  | 0.0    | 1      |
      | 2     | 150  | 0.0    | 1      |
      | 3     | 470  | 0.0    | 3      |
      | 1     | 470  | 1.0    | 3      |
      | 3     | 470  | 1.0    | 3      |

  Scenario: A link that was not used for a while is measured anew
    Given a receive window of 3 chunks of 49 kB and 0.3 s
    When chunks come at 470, 470 kB/s
    And 6 s pass without a chunk and the next is requested
    Then 1 chunks may be on their way

  Scenario Outline: A link that brings <rate> kB/s: chunks from the origin beside others
    Given a transfer that may let 3 chunks come in 0.3 s, and peers that hold some
    When chunks have come at <rate> kB/s and the instance owns missing ones
    Then <count> chunks are on their way at most, one of them from the origin

    Examples:
      | rate | count |
      | 300  | 2     |
      | 150  | 1     |

  Scenario: A machine whose link is squeezed holds requests up for a short time only
    Given 7 agents at the pace of the platform and one link that is squeezed to a quarter
    When the agents distribute 48 chunks
    Then packets to that machine wait 0.3 s at most in the mean and 1.1 s at the worst

  Scenario: Small packets pass between the slices of a large frame
    Given a paced writer for 40 kB/s
    When a frame of 40 kB is written
    Then at no time more than 2 slices were written ahead of the rate
    And the whole frame is written in order within 1.1 s

  Scenario: Few chunks are on their way, since calls to the machine wait behind them
    Given a transfer of 40 chunks at the pace of an agent, and 6 peers that hold all
    Then at most 3 chunks are requested from peers at a time, and 1 from the origin
