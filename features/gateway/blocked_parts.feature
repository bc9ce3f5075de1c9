Feature: A part of prompts that crashes endpoints stays blocked when entry instances restart
  Crashes are known to the entry instances only. When all of them are replaced, a part that
  they had blocked would crash endpoints again until it is blocked anew.

  Scenario Outline: Every entry process is <ended> after the fifth crash
    Given 3 entry processes and 5 servers that a part of prompts crashes
    When the part comes until every entry process has blocked it
    And every entry process is <ended> and started again until the part came 3 times to each
    Then at most 3 requests with the part reach servers after the fifth crash
    And a request that shares its other parts is answered

    Examples:
      | ended   |
      | killed  |
      | stopped |

  Scenario: The last entry process that knows of the crashes is killed in turn
    Given 3 entry processes and 5 servers that a part of prompts crashes
    When the part comes until every entry process has blocked it
    And entry processes are killed and started again in turn, 3 times each
    Then at most 3 requests with the part reach servers after the fifth crash

  Scenario Outline: An instance starts <state>
    Given a block of the part "bad" that is recorded <recorded>
    When an instance starts <state>
    Then a request with a part waits for <waits_s> s at most
    And the part "bad" is blocked then: <blocked>

    Examples:
      | state                                     | recorded | waits_s | blocked |
      | beside a store that answers               | yes      | 0.1     | yes     |
      | beside a store that answers               | no       | 0.1     | no      |
      | beside a store that answers after 1 s     | yes      | 1.3     | yes     |
      | beside a silent store and an instance     | no       | 0.1     | yes     |
      | beside a store that never answers         | yes      | 2.1     | no      |

  Scenario Outline: <count> instances have found a block and <trouble>
    Given <count> instances that have found a block, of which <observers> saw a crash
    When 20 s pass in which <trouble>
    Then the block is recorded
    And the store got at most <calls> calls

    Examples:
      | count | observers | trouble                             | calls |
      | 6     | 2         | nothing fails                       | 4     |
      | 45    | 3         | nothing fails                       | 6     |
      | 100   | 0         | nothing fails                       | 10    |
      | 6     | 2         | the observers end before they write | 4     |
      | 6     | 2         | the store is away for 5 s           | 40    |
      | 6     | 2         | every message is lost               | 12    |

  Scenario: A part that is answered after all is no longer recorded
    Given 3 instances that have found a block, of which 1 saw a crash
    When 20 s pass in which nothing fails
    And the part is answered and 20 s pass
    Then no block is recorded

  Scenario: A blocked part that is too long for the record is counted once
    Given an instance that has blocked a part of 300 characters
    When 20 s pass in which nothing fails
    Then no block is recorded
    And 1 block is counted as not written

  Scenario: Instances that know nothing of the crashes do not take back their block
    Given 3 instances that have found a block, of which 1 saw a crash
    And 3 more instances to which the reports of the crashes were lost
    When 20 s pass in which nothing fails
    Then the block is recorded
    And every instance blocks the part
    And the store got at most 4 calls

  Scenario: A block ends everywhere with an answer whose report was lost
    Given 3 instances that have found a block, of which 1 saw a crash
    And 3 more instances to which the reports of the crashes were lost
    When 20 s pass in which nothing fails
    And the part is answered at one instance, which the others do not hear
    And 20 s pass in which nothing fails
    Then no block is recorded
    And no instance blocks a part
    And the store got at most 12 calls

  Scenario: Instances that disagree on a block do not rewrite it all the time
    Given 3 instances that have found a block, of which 1 saw a crash
    When 20 s pass in which nothing fails
    And the part is answered at one instance, which the others do not hear
    And another one sees it crash an endpoint, which the first does not hear
    And 20 s pass in which nothing fails
    Then the store got at most 20 calls
