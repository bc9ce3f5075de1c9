Feature: Table service, object store, origin and list of instances

  Scenario: A transaction whose condition fails changes nothing
    Given the platform stand-in for transact
    When platform records a=1 and b=1 are put
    And a platform transaction expects a at revision 7 and b at its own, and puts both
    Then the platform call ends with Conflict
    And the platform conflict shows a=1
    And the platform records are a=1 and b=1

  Scenario: Two transactions from the same revision, one wins
    Given the platform stand-in for transact
    When two platform transactions create the same key at once
    Then one platform transaction is Committed and one is Conflict

  Scenario: A deleted record counts as absent
    Given the platform stand-in for transact
    When platform records a=1 and b=1 are put
    And the platform record a is deleted at its revision
    Then the platform records are a=None and b=1
    And the platform record a can be created again

  Scenario: Records of a prefix come in the order of their keys and up to the limit
    Given the platform stand-in for transact
    When platform records v/2=x and v/1=y are put
    Then the first platform record of the prefix v/ is v/1

  Scenario: The table service restored from a snapshot shows its older state
    Given the platform stand-in for transact
    When platform records a=1 and b=1 are put
    And the platform fault snapshot is set
    And platform records a=2 and b=2 are put
    And the platform fault restore is set
    Then the platform records are a=1 and b=1

  Scenario Outline: Above its rate the <service> refuses without effect
    Given a platform <service> that allows 2 a second
    When the platform call <call> is made 3 times
    Then the last platform call ends with Unavailable and says when to retry

    Examples:
      | service       | call      |
      | table service | read      |
      | table service | transact  |
      | origin        | get chunk |

  Scenario: Downloads share the rate of the origin's link
    Given a platform origin with a link of 1000000 bytes a second
    When two platform downloads of 100000 bytes run at once
    Then the platform downloads take at least 0.18 s and are complete

  Scenario: A corrupt chunk reaches the caller, who verifies it
    Given the platform stand-in for get chunk
    When the platform call get chunk meets the fault corrupt
    Then the platform chunk differs from the one that was stored

  Scenario Outline: What is not there or not acceptable is a refusal: <call>
    Given the platform stand-in for <call>
    When the platform call <call> is made
    Then the platform call ends with <outcome>

    Examples:
      | call            | outcome  |
      | absent object   | NotFound |
      | absent chunk    | NotFound |
      | mislabelled chunk | Refused |

  Scenario: The list of instances lags
    Given a platform list of instances that lags by 3600 s
    When the platform instance agent-1 joins
    Then the platform list is empty
    But without the lag the platform list has agent-1
