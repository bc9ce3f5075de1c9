Feature: Frames between processes
  A frame that cannot be read is rejected with its fault and affects nothing else.

  Scenario: Every message type survives encoding
    Given an example of every message type
    When each is encoded and decoded
    Then each equals its original

  Scenario Outline: A bad frame is rejected: <damage>
    Given an encoded work message
    When the frame is damaged by <damage>
    Then decoding reports the fault <fault>

    Examples:
      | damage           | fault         |
      | cut              | truncated     |
      | empty            | truncated     |
      | trailing bytes   | malformed     |
      | not a list       | malformed     |
      | wrong field type | malformed     |
      | missing field    | malformed     |
      | unknown type     | unknown_type  |
      | newer protocol   | wrong_version |
      | oversize         | too_long      |
