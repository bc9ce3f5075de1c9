Feature: The store comes back from an older copy of its data
  Its versions go back and are given out again for other changes; its era rises. A
  position in its history is the era and the version.

  # Entries refused what came with lower versions, and kept what was written under versions
  # that were given out again.
  Scenario Outline: Instances miss a change after a restore: <layout>, <trouble>
    Given data centres with <layout> instances that follow the store
    When the store comes back from an older copy and <trouble>
    Then every instance holds what the store holds within <within> s

    Examples:
      | layout | trouble                                             | within |
      | 1      | nothing else happens                                | 2.0    |
      | 3+1+2  | a change is written at once                         | 2.0    |
      | 12     | a change is written at once                         | 2.0    |
      | 3+1+2  | a change is written after 3 s                       | 2.0    |
      | 3+1+2  | the old number is passed before anybody reads       | 2.0    |
      | 1      | the old number is passed before anybody reads       | 2.0    |
      | 3+1+2  | the old number is reached before anybody reads      | 2.0    |
      | 3+1+2  | it comes back from another one at once              | 2.0    |
      | 3+1+2  | an instance was frozen over it                      | 2.0    |
      | 3+1+2  | an instance that was cut off brings old records     | 2.0    |
      | 3+1+2  | an answer from before it arrives late               | 2.0    |

  Scenario: A restored store is read again and again while it names no era
    Given data centres with 6 instances that follow the store
    When a store that names no era goes back to an older version for 10 s
    Then it gets no more calls than a store that refuses all of them
    And no instance takes its answers for a confirmation

  Scenario Outline: An era that is <odd> ends the reads of a table, or is taken
    Given data centres with 1 instances that follow the store
    When the store names an era that is <odd> for 3 s
    Then the copies stay as they are, and a change after it is held within 2.0 s

    Examples:
      | odd          |
      | missing      |
      | not a number |
      | negative     |
      | lower        |

  Scenario Outline: Endpoints are lost or go back with a restored store: <restored>
    Given an endpoint that was listed with start 5 and record 7
    When just after a restore of the store <restored>
    Then the endpoint <outcome>

    Examples:
      | restored                                     | outcome                   |
      | it is not listed                             | is kept                   |
      | it is listed with start 5 and record 3       | keeps its newer record    |
      | it is listed with start 4 and record 9       | keeps its newer record    |
      | it is listed with start 5 and record 8       | takes the listed record   |
      | it is listed with start 6 and record 1       | takes the listed record   |
      | it is not listed for 3 s                     | is gone                   |

  Scenario: Agents ignore the endpoints of a restored store
    Given an agent that has a notice of endpoints at position 1/90
    When it gets one of other endpoints at position 2/12, and then one at 1/95
    Then it uses the endpoints of position 2/12

  Scenario: An instance whose registration was lost with a restore is not registered again
    Given an instance that has read the list of instances often enough
    When the store is restored
    Then the list is to be read at the next check

  Scenario Outline: A restored configuration replaces a newer one: <found>
    Given an entry instance with configuration 4 in force
    When it finds <found>
    Then configuration <version> with <routes> routes is in force

    Examples:
      | found                                | version | routes |
      | configuration 3 with 2 routes        | 4       | 1      |
      | configuration 4 with 1 routes        | 4       | 1      |
      | configuration 4 with 2 routes        | 4       | 2      |
      | configuration 5 with 2 routes        | 5       | 2      |
