Feature: Metrics, their text and damaged text

  Scenario Outline: Damaged metrics text gives no counts: <damage>
    Given the text of report metrics
    When the report text is damaged by <damage>
    Then the report text is refused with <fault>

    # Missing counters would look like those of a process that was restarted.
    Examples:
      | damage                       | fault                      |
      | an empty text                | the text is cut off        |
      | a cut in the middle          | the text is cut off        |
      | a cut at the end of a line   | the text is cut off        |
      | a missing last line feed     | the text is cut off        |
      | a byte that is not UTF-8     | not UTF-8                  |
      | a line of words              | not a sample               |
      | an unterminated label        | not a sample               |
      | a label without quotes       | malformed labels           |
      | a label twice                | malformed labels           |
      | a value of words             | could not convert          |
      | a value that is NaN          | is not a number            |
      | a negative counter           | is -1.0                    |
      | an infinite counter          | is inf                     |
      | a line twice                 | the series stands twice    |
      | no start time                | start_time_seconds         |
      | no bucket at the threshold   | no bound at 0.88 s         |
      | a count unlike the buckets   | buckets and count differ   |
      | a bucket above the count     | a bucket is above          |
      | a bound that is no number    | bound 'wide'               |
      | more than the longest length | more than                  |

  Scenario: Metrics text of every process that can be read is kept
    Given report processes p1 and p2 that serve metrics, p3 that is stopped and p4 that lies
    When the report processes are scraped
    Then the report scrapes are of p1 and p2
    And the report faults name p3 and p4

  Scenario: A large fleet is scraped a few processes at a time
    Given 100 report processes that answer when no further one is asked
    When the report processes are scraped
    Then the report scrapes are of 100 processes, at most 32 at once

  Scenario Outline: A damaged line of a file of scrapes affects no other: <line>
    Given a report file with two scrapes and between them <line>
    When the report file is read
    Then the report file gives two scrapes and a fault in line 2

    Examples:
      | line                  |
      | not json              |
      | {}                    |
      | ["a", 1.0]            |
      | ["a", 1.0, 3]         |
      | ["a", "noon", "text"] |
      | ["a", 1.0, "text"]    |

  Scenario Outline: A client with the name <name> is read back
    Given report metrics with a request of the client <name>
    Then the report text read back has the client <name>

    Examples:
      | name          |
      | alcornoque    |
      | a "quoted"    |
      | back\slash    |
      | a,b="c"} 7    |
      | line\nfeed    |
      | LINE FEED     |
      | Lämpö         |

  Scenario: The number of clients with a label of their own is bounded
    Given report metrics with requests of 1010 clients
    Then the report text has 1001 clients and counts 10 without label

  Scenario: Counters and gauges of any part appear with the labels of the process
    Given report metrics with the counter queue_rejected 3 and the gauge table_version 7
    Then the report text has queue_rejected_total 3 and table_version 7 of process e1
    And the report gauge table_version cannot be used as a counter

  Scenario Outline: Objectives that cannot be read: <document>
    When the report objectives are <document>
    Then the report objectives are refused with <fault>

    Examples:
      | document                                 | fault                               |
      | []                                       | objectives: must be an object       |
      | {"speed": {}}                            | objectives.speed: unknown           |
      | {"first_token": 3}                       | objectives.first_token: must be     |
      | {"first_token": {"target": 1}}           | objectives.first_token.target       |
      | {"first_token": {"target": true}}        | objectives.first_token.target       |
      | {"first_token": {"threshold_s": 0}}      | objectives.first_token.threshold_s  |
      | {"first_token": {"limit_s": 1}}          | objectives.first_token.limit_s      |
      | {"availability": {"threshold_s": 1}}     | objectives.availability.threshold_s |

  Scenario: Objectives that are left out have their defaults
    When the report objectives are {"availability": {"target": 0.99}}
    Then the report objectives are 0.99, 0.95 within 0.88 s and 0.95 within 0.029 s

  # Histograms had pushed the version in force out of scrapes that were cut after 4 KB.
  Scenario: The metrics that a reader asks for first come before histograms
    Given report metrics with a histogram of 40 labels and a gauge of the version
    When the report text is rendered with the version first
    Then the report text has the version in its first 500 bytes
    And the report text is otherwise complete
