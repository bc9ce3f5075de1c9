Feature: Burn rates
  A wrong burn rate wakes an operator for nothing or hides that a half's customers get no
  answers. The usual faults are restarted processes, late scrapes and windows that are
  longer than the history.

  Scenario Outline: Burn rate of <good> good events of <total> at the target <target>
    When the burn rate is computed for <good> of <total> at <target>
    Then the burn rate is <rate>

    Examples:
      | good | total | target | rate |
      | 1000 | 1000  | 0.95   | 0    |
      | 950  | 1000  | 0.95   | 1    |
      | 900  | 1000  | 0.95   | 2    |
      | 0    | 10    | 0.95   | 20   |
      | 999  | 1000  | 0.999  | 1    |
      | 0    | 0     | 0.95   | none |

  Scenario Outline: Counted in the window from 1000 to 1300: <case>
    Given burn scrapes <scrapes>
    When the burn window from 1000 to 1300 is counted
    Then the burn window has <good> good of <total> over <covered> s

    # A scrape is process@time/start:good/total; the window starts at 1000.
    Examples:
      | case                               | scrapes                                      | good | total | covered |
      | two scrapes                        | a@1000/1:10/10 a@1300/1:15/20                | 5    | 10    | 300     |
      | scrapes between make no difference | a@1000/1:10/10 a@1100/1:11/12 a@1300/1:15/20 | 5    | 10    | 300     |
      | a scrape after the end             | a@1000/1:10/10 a@1300/1:15/20 a@1400/1:50/50 | 5    | 10    | 300     |
      | the last scrape before the start   | a@800/1:0/0 a@990/1:10/10 a@1300/1:15/20     | 5    | 10    | 310     |
      | the history is too short           | a@1200/1:10/10 a@1300/1:15/20                | 5    | 10    | 100     |
      | a restart                          | a@1000/1:10/10 a@1300/1100:3/4               | 3    | 4     | 300     |
      | a restart with higher counts       | a@1000/1:10/10 a@1300/1100:13/14             | 13   | 14    | 300     |
      | a restart between scrapes          | a@1000/1:10/10 a@1100/1:15/20 a@1300/1150:3/4 | 8   | 14    | 300     |
      | counts fall, start time unchanged  | a@1000/1:10/10 a@1300/1:3/4                  | 3    | 4     | 300     |
      | a process that joins               | a@1000/1:0/0 b@1200/1150:5/6                 | 5    | 6     | 300     |
      | a process that is found late       | a@1000/1:0/0 b@1200/1:50/60 b@1300/1:51/62   | 1    | 2     | 300     |
      | a process that is gone             | a@1000/1:0/0 a@1100/1:5/5 b@1000/1:0/0 b@1300/1:1/1 | 6 | 6   | 300     |
      | one scrape                         | a@1300/1:50/60                               | 0    | 0     | 0       |
      | no scrape                          | none                                         | 0    | 0     | 0       |

  Scenario: Any scrapes between two others change nothing
    Given burn counts that only grow, of three processes
    When some of the burn scrapes between the first and the last are lost
    Then the burn window has the same counts

  Scenario Outline: The outcome <outcome> <effect> the availability
    Given burn metrics with 9 requests answered and 1 <outcome>
    When the burn rates are computed from the metrics text
    Then the burn count of availability is <good> good of <total>

    Examples:
      | outcome   | effect                 | good | total |
      | answered  | counts as good for     | 10   | 10    |
      | failed    | counts as bad for      | 9    | 10    |
      | shed      | counts as bad for      | 9    | 10    |
      | limited   | does not count for     | 9    | 9     |
      | invalid   | does not count for     | 9    | 9     |
      | cancelled | does not count for     | 9    | 9     |

  Scenario Outline: A latency of <latency> s at the threshold <threshold> s is <verdict>
    Given burn metrics with the <objective> threshold <threshold> and a latency of <latency>
    When the burn rates are computed from the metrics text
    Then the burn count of <objective> is <good> good of 1

    Examples:
      | objective      | threshold | latency | verdict | good |
      | first_token    | 0.88      | 0.88    | good    | 1    |
      | first_token    | 0.88      | 0.8801  | bad     | 0    |
      | first_token    | 0.333     | 0.333   | good    | 1    |
      | first_token    | 0.333     | 0.44    | bad     | 0    |
      | between_tokens | 0.029     | 0.029   | good    | 1    |
      | between_tokens | 0.029     | 0.0291  | bad     | 0    |

  Scenario: Burn rates by client, half and data centre
    Given burn metrics of two data centres where one client's requests fail
    When the burn rates are computed from the metrics text
    Then the burn rates of availability are
      | dimension   | name   | good | total |
      | all         |        | 15   | 20    |
      | client      | buyer  | 0    | 5     |
      | client      | crew   | 15   | 15    |
      | data_centre | este1  | 10   | 10    |
      | data_centre | norte1 | 5    | 10    |
      | half        | a      | 10   | 15    |
      | half        | b      | 5    | 5     |

  Scenario Outline: Alerts: 5 min <m5>, 1 h <h1>, 6 h <h6>, 3 days <d3>
    When burn alerts are computed for <m5>, <h1>, <h6> and <d3>
    Then the burn alert is <alert>

    Examples:
      | m5   | h1   | h6   | d3   | alert             |
      | 0    | 0    | 0    | 0    | none              |
      | 14.4 | 14.4 | 0    | 0    | page 14.4 5m 1h   |
      | 20   | 1    | 1    | 0    | none              |
      | 0    | 20   | 1    | 0    | none              |
      | 0    | 6    | 6    | 0    | page 6 1h 6h      |
      | 0    | 0    | 1    | 1    | ticket 1 6h 3d    |
      | 20   | 20   | 20   | 20   | page 14.4 5m 1h   |
      | none | 20   | none | none | none              |

  Scenario: The table and the JSON text show rates, short history and alerts
    Given burn scrapes a@1000/1:0/0 a@1300/1:0/100
    When the burn report ends at 1300
    Then the burn table shows 1000.00 for 5m, 1000.00* for 1h and a page
    And the burn table shows - for an objective without events
    And the burn JSON text has the same rates and alerts
