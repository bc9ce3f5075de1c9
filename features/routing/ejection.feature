Feature: Ejection of failing endpoints
  An endpoint that fails attempts must stop getting them, must not be shut out for good,
  and a fault of the whole fleet must not leave a row without endpoints.

  Scenario Outline: An endpoint whose attempts end as "<outcomes>" is <state>
    Given a router with endpoints "a, b, c, d" of capacity 40
    When the router sees attempts at "a" end as "<outcomes>"
    Then the router has endpoint "a" in the state "<state>"

    Examples:
      | outcomes                | state    |
      | FFF                     | ejected  |
      | FF                      | admitted |
      | FFAFF                   | admitted |
      | FFAFFAFFAFFAFFA         | ejected  |
      | FFCF                    | ejected  |
      | CCCCCCCC                | admitted |
      | BBBBBBBB                | admitted |

  Scenario: An ejected endpoint is readmitted by one probe
    Given a router with endpoints "a, b, c, d" of capacity 40
    When the router sees attempts at "a" end as "FFF"
    Then the router sends 20 requests to "b, c, d" only
    When the router waits 7 s with reports of "a, b, c, d" only
    Then the router sends 1 request of 20 as a probe to "a"
    When the router sees the probe end as "A"
    Then the router has endpoint "a" in the state "admitted"

  Scenario: A failed probe doubles the time to the next one
    Given a router with endpoints "a, b, c, d" of capacity 40
    When the router sees attempts at "a" end as "FFF"
    And the router waits 7 s with reports of "a, b, c, d" only
    Then the router sends 1 request of 20 as a probe to "a"
    When the router sees the probe end as "F"
    And the router waits 7 s with reports of "a, b, c, d" only
    Then the router sends 20 requests to "b, c, d" only

  Scenario: A call that may not be repeated is never a probe
    Given a router with endpoints "a, b, c, d" of capacity 40
    When the router sees attempts at "a" end as "FFF"
    And the router waits 7 s with reports of "a, b, c, d" only
    Then the router sends 20 calls that may not be repeated to "b, c, d" only

  Scenario: A request that has failed once is never a probe
    Given a router with endpoints "a, b, c, d" of capacity 40
    When the router sees attempts at "a" end as "FFF"
    And the router waits 7 s with reports of "a, b, c, d" only
    Then the router sends 20 requests that failed at "b" to "c, d" only

  Scenario: Endpoints remain when all fail
    Given a router with endpoints "a, b, c, d" of capacity 40
    When the router sees every endpoint fail 10 attempts
    Then the router has 2 endpoints admitted
    And the router sends 20 requests to "c, d" only

  Scenario: The last sound endpoint that leaves uncovers the ejected one
    Given a router with endpoints "a, b" of capacity 40
    When the router sees attempts at "a" end as "FFF"
    And the router learns that endpoint "b" announces that it leaves
    Then the router sends 5 requests to "a" only
