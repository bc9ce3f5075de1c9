Feature: Log lines of events
  A value that breaks its line, or a caller's text that forges a field, would mislead
  whoever reads the log after a fault.

  Scenario Outline: The value <value> stays in its field
    Given an event log
    When the event refused is logged with the reason <value>
    Then the event log has one line whose reason reads back

    Examples:
      | value              |
      | overload           |
      | too many requests  |
      | a=b event=forged   |
      | say "no"           |
      | LINE FEED          |
      | EMPTY              |
      | back\slash         |

  Scenario: A line has time, level, process and event first, and floats are short
    Given an event log
    When the event peer_suspected is logged as a warning with 1/3 s, True, None and 7
    Then the event log line has all its fields in order

  Scenario: A long value is cut
    Given an event log
    When an event with a value of 10000 characters is logged
    Then the event log line is shorter than 700 characters

  Scenario Outline: A field that cannot be written is an error of the program: <field>
    Given an event log
    Then logging an event with the field <field> is refused

    Examples:
      | field  |
      | event  |
      | time   |
      | Bad    |
      | a b    |

  Scenario Outline: A damaged event line is refused: <line>
    Then reading the event line <line> is refused

    Examples:
      | line            |
      | words           |
      | a=              |
      | a="open         |
      | a="x"b=1        |
      | A=1             |
