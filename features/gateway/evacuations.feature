Feature: An evacuated data centre gets no further calls
  The endpoint x is in data centre "a" of region "r1", where the calls arrive, and y in
  data centre "b" of region "r2". Each has one slot.

  Scenario Outline: Data centre "a" is evacuated and a call <way>
    Given endpoints in two regions and a route that <kind>
    When "a" is evacuated while a call <way>
    Then it <outcome>

    Examples:
      | kind                | way                            | outcome      |
      | may repeat          | arrives                        | is sent to y |
      | may repeat          | is dialled at x                | is sent to y |
      | may repeat          | waits for a free slot          | waits for y  |
      | may repeat          | is repeated after a reset      | is sent to y |
      | streams and resumes | breaks off inside its stream   | is sent to y |

  Scenario Outline: Data centres "<evacuated>" are evacuated and the route allows "<regions>"
    Given endpoints in two regions and a route that may repeat
    When the route allows "<regions>" and the client account "any"
    And the data centres "<evacuated>" are evacuated
    And a regional call arrives
    Then it <outcome>

    Examples:
      | evacuated | regions | outcome            |
      | a         | r1      | is refused at once |
      | a b       | any     | is refused at once |
      | b         | r1      | is sent to x       |
      | none      | r1      | is sent to x       |

  Scenario Outline: The row of an evacuation <event>
    Given an entry process that has read an evacuation of "b"
    When the row of the evacuation <event>
    Then evacuated is: <evacuated>

    Examples:
      | event                                             | evacuated |
      | goes                                              | nothing   |
      | goes as the store is restored                     | b         |
      | goes as the store is restored, 5.0 s ago          | nothing   |
      | is written for another data centre too            | b, c      |
