Feature: Checks of staged pieces before a load
  An engine loads its staged pieces as they are when it accepts the order. A check tells
  their state at its beginning only.

  # Agents ordered loads of pieces that had turned bad seconds after their only check.
  @always_1
  Scenario Outline: An engine loads damaged pieces because <trouble>
    Given an engine whose pieces of version 2 are staged and checked
    When <trouble>
    Then the engine has loaded version 2 from pieces that were intact 3 s before

    Examples:
      | trouble                                                        |
      | a piece turns bad while the engine waits for its turn          |
      | a piece turns bad and its agent stands still before the order  |
      | a piece turns bad while two orders get no answer               |
      | in the middle of a check the engine restarts empty             |
      | the manifest is replaced after the check                       |

  @always_1
  Scenario: An order that waits for its connection is sent when its check is too old
    Given a model server whose connections open 2 s late
    When its agent orders a load that must not be sent after 1.5 s
    Then the order is not sent, and the call says so

  @always_1
  Scenario Outline: A load that rests on an old check because <trouble> passes as sound
    Given an engine whose pieces of version 2 are staged and checked
    When <trouble>
    Then the agent reads the pieces again and takes the load for <verdict>

    Examples:
      | trouble                                                        | verdict  |
      | an order lies unread at an engine that stands still            | sound    |
      | an order and a bad piece lie at an engine that stands still    | unsound  |
