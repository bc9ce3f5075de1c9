Feature: Long answers reach their clients whole
  The real entry process passes answers of a back end on, on connections that are kept.

  # Answers of more than 65,536 bytes ended with a reset of the client's connection.
  Scenario Outline: An answer of <count> bytes is never delivered: <framing>
    Given a store and a back end with long answers
    And a machine with 200 MB of memory and 600 descriptors
    When the entry process is started
    Then it becomes ready
    And an answer of <count> bytes that ends by <framing> arrives whole, twice on one connection

    Examples:
      | count   | framing |
      | 0       | length  |
      | 65535   | length  |
      | 65536   | length  |
      | 65537   | length  |
      | 80000   | length  |
      | 1000000 | length  |
      | 4194304 | length  |
      | 65537   | chunks  |
      | 4194304 | chunks  |
      | 65537   | close   |
      | 4194304 | close   |
