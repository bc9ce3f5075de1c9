Feature: Reports of crashes between entry instances
  Every entry instance learns of a request that crashes endpoints, and the reports do not
  fill the links between regions.

  Scenario: Every receiver forwards every report of a crash
    Given an entry process with a peer
    When the peer reports 200 crashes of different requests
    Then the entry process forwards 0 reports

  Scenario: A request that crashes endpoints is blocked where its reporter is cut off
    Given an entry process with a peer
    When the peer reports crashes of one request at endpoints "x, y, z"
    Then the entry process forwards 1 reports
    And the entry process blocks the request
