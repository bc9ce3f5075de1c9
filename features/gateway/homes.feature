Feature: Calls stay inside the regions that route and client account allow
  The endpoint x is in data centre "a" of region "r1", where the calls arrive, and y in
  data centre "b" of region "r2". Each has one slot.

  Scenario Outline: The route allows "<route>" and the client account "<account>"
    Given endpoints in two regions and a route that may repeat
    When the route allows "<route>" and the client account "<account>"
    And a regional call arrives
    Then it <outcome>

    Examples:
      | route | account | outcome            |
      | any   | any     | is sent to x       |
      | r2    | any     | is sent to y       |
      | any   | r2      | is sent to y       |
      | r1 r2 | r2 r3   | is sent to y       |
      | r3 r2 | any     | is sent to y       |
      | r3    | any     | is refused at once |
      | any   | r3      | is refused at once |
      | r1    | r2      | is refused at once |

  Scenario Outline: A call for one region <way>
    Given endpoints in two regions and a route that <kind>
    When the route allows "r1" and the client account "any"
    And a regional call <way>
    Then it was sent to x only

    Examples:
      | kind                | way                           |
      | may repeat          | is repeated after a reset     |
      | may repeat          | is repeated after a refusal   |
      | may repeat          | waits beside a free endpoint  |
      | may repeat          | is at a silent endpoint       |
      | streams and resumes | breaks off inside its stream  |
      | streams and resumes | falls silent inside its stream |

  Scenario Outline: A configuration that allows only "<regions>" comes as a call <phase>
    Given endpoints in two regions and a route that may repeat
    When a regional call <phase>
    And the route allows "<regions>" and the client account "any"
    Then it <outcome>

    Examples:
      | phase                 | regions | outcome            |
      | is dialled at x       | r2      | is sent to y       |
      | is dialled at x       | r3      | is refused at once |
      | waits for a free slot | r3      | is refused at once |
      | waits for a free slot | r2      | waits for y        |
      | is silent at x        | r1      | was sent to x only |

  Scenario: A call that no endpoint may take lets others pass in the queue
    Given endpoints in two regions and a route that may repeat
    When two calls wait, the first for "r1" only
    And the endpoint y becomes free
    Then the second call is sent to y

  Scenario: A service without an endpoint in the allowed regions gets no share of the calls
    Given endpoints in two regions and a route that may repeat
    When the route is shared with a service whose endpoints are in region "r2"
    And the route allows "r1" and the client account "any"
    Then 20 calls are all sent to the service in "r1"
