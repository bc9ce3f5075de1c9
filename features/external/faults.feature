Feature: Errors of the platform clients tell whether a call had an effect
  A client that reports "no effect" for a call that took effect would let a signature be
  executed twice; one that reports "unknown" for a refusal would keep callers from a
  safe retry.

  Scenario Outline: A changing call under a fault: <call>, <fault>
    Given the platform stand-in for <call>
    When the platform call <call> meets the fault <fault>
    Then the platform call ends with <outcome>
    And the platform stand-in counts <effects> effects

    Examples:
      | call            | fault         | outcome     | effects |
      | transact        | none          | Committed   | 1       |
      | transact        | refuse        | Unavailable | 0       |
      | transact        | drop          | AnswerLost  | 0       |
      | transact        | lose_response | AnswerLost  | 1       |
      | transact        | hang          | AnswerLost  | 1       |
      | transact        | delay         | AnswerLost  | 1       |
      | transact        | stopped       | Unavailable | 0       |
      | put object      | none          | NoneType    | 1       |
      | put object      | refuse        | Unavailable | 0       |
      | put object      | drop          | AnswerLost  | 0       |
      | put object      | lose_response | AnswerLost  | 1       |
      | put object      | stopped       | Unavailable | 0       |
      | service call    | none          | ServiceEnd  | 1       |
      | service call    | refuse        | Unavailable | 0       |
      | service call    | drop          | AnswerLost  | 0       |
      | service call    | lose_response | AnswerLost  | 1       |
      | service call    | hang          | AnswerLost  | 1       |
      | service call    | cross         | Crossed     | 1       |
      | service call    | stopped       | Unavailable | 0       |
      | completion      | none          | CompletionEnd | 1     |
      | completion      | refuse        | Unavailable | 0       |
      | completion      | drop          | AnswerLost  | 0       |
      | completion      | lose_response | AnswerLost  | 1       |
      | completion      | hang          | AnswerLost  | 1       |
      | completion      | truncate      | AnswerLost  | 1       |
      | completion      | cross         | Crossed     | 1       |
      | completion      | crash         | AnswerLost  | 1       |
      | completion      | stopped       | Unavailable | 0       |
      | stream          | none          | CompletionEnd | 1     |
      | stream          | refuse        | Unavailable | 0       |
      | stream          | drop          | AnswerLost  | 0       |
      | stream          | truncate      | AnswerLost  | 1       |
      | stream          | cross         | Crossed     | 1       |
      | stream          | crash         | AnswerLost  | 1       |
      | stream          | stopped       | Unavailable | 0       |
      | load weights    | none          | LoadedModel | 1       |
      | load weights    | refuse        | Unavailable | 0       |
      | load weights    | drop          | AnswerLost  | 0       |
      | load weights    | lose_response | AnswerLost  | 1       |
      | load weights    | crash_on_load | AnswerLost  | 0       |
      | load weights    | stopped       | Unavailable | 0       |

  Scenario Outline: A read under a fault has no effect: <call>, <fault>
    Given the platform stand-in for <call>
    When the platform call <call> meets the fault <fault>
    Then the platform call ends with <outcome>

    Examples:
      | call           | fault         | outcome     |
      | read           | none          | tuple       |
      | read           | refuse        | Unavailable |
      | read           | drop          | Unavailable |
      | read           | lose_response | Unavailable |
      | read           | hang          | Unavailable |
      | read           | stopped       | Unavailable |
      | get object     | none          | bytes       |
      | get object     | drop          | Unavailable |
      | get chunk      | none          | bytes       |
      | get chunk      | refuse        | Unavailable |
      | get chunk      | drop          | Unavailable |
      | get chunk      | stall         | Unavailable |
      | list instances | none          | tuple       |
      | list instances | drop          | Unavailable |
      | engine state   | none          | EngineState |
      | engine state   | drop          | Unavailable |
      | engine load    | none          | LoadReport  |
      | engine load    | hang          | Unavailable |

  Scenario Outline: A malformed answer is neither a result nor a crash: <call>, <body>
    Given a platform server that answers every request with <body>
    When the platform call <call> is made to it
    Then the platform call ends with <outcome>

    Examples:
      | call           | body                        | outcome     |
      | transact       | not json                    | AnswerLost  |
      | transact       | ["list"]                    | AnswerLost  |
      | transact       | {"revision": "x"}           | AnswerLost  |
      | transact       | {}                          | AnswerLost  |
      | read           | not json                    | Unavailable |
      | read           | {"records": [{"key": "k"}]} | Unavailable |
      | read           | {"records": 3}              | Unavailable |
      | read           | {"records": [{"key": "k", "value": "v", "revision": 1e999}]} | Unavailable |
      | read           | {"records": [{"key": "k", "value": "v", "revision": true}]}  | Unavailable |
      | read           | {"records": [{"key": "k", "value": "v", "revision": -1}]}    | Unavailable |
      | read           | {"records": [{"key": "k", "value": 7, "revision": 1}]}       | Unavailable |
      | read           | {"records": [{"key": [], "value": "v", "revision": 1}]}      | Unavailable |
      | read           | {"records": [{"key": "k", "value": "\ud800", "revision": 1}]} | Unavailable |
      | list instances | {"instances": [{}]}         | Unavailable |
      | list instances | {"instances": null}         | Unavailable |
      | engine state   | {"role": "both"}            | Unavailable |
      | engine load    | {"running": "many"}         | Unavailable |
      | load weights   | {"row": "m"}                | AnswerLost  |
      | service call   | no attempt header           | Crossed     |
      | completion     | no attempt header           | Crossed     |

  Scenario: An answer that is too long is not read to its end
    Given a platform server that answers every request with 200000 bytes
    When the platform call get object is made to it
    Then the platform call ends with Unavailable

  Scenario: A fault that names senders affects only them
    Given the platform stand-in for read
    And the platform fault refuse for the sender agent-2
    When the platform call read is made by agent-1
    Then the platform call ends with tuple
    When the platform call read is made by agent-2
    Then the platform call ends with Unavailable

  Scenario Outline: Faults that cannot be read change nothing: <document>
    Given the platform stand-in for read
    When its faults are replaced by <document>
    Then the platform stand-in answers 400 and keeps no fault

    Examples:
      | document                                     |
      | not json                                     |
      | {}                                           |
      | {"faults": [{"kind": "unheard"}]}            |
      | {"faults": [{"kind": "refuse", "colour": 1}]} |

  Scenario Outline: An odd entry of the list of instances costs only itself: <field> is <value>
    Given a list of instances with a good entry and one with <field> as <value>
    When the list of instances is read
    Then only the good instance is in it

    Examples:
      | field | value              |
      | port  | 99999              |
      | port  | 0                  |
      | port  | "7700"             |
      | port  | true               |
      | port  | 1e999              |
      | port  | 400 digits         |
      | host  | ""                 |
      | host  | a lone surrogate   |
      | host  | a text with NUL    |
      | name  | ["x"]              |
      | name  | a text of 400 letters |
      | state | "dreaming"         |
      | state | ["live"]           |
      | half  | 7                  |
