Feature: Checks of when changes are in force
  The soak judges a change at an entry that nothing has disturbed for 3 s.

  Scenario Outline: A request <after_s> s after version 7 of the configuration, <calm_s> s after a disturbance of the <disturbed>
    Given version 7 of the configuration is acknowledged at 100.0 s
    And the <disturbed> is disturbed until <calm_s> s before the request
    When the entry answers 404 for a path of version 7 <after_s> s after the acknowledgement
    Then the checks of the soak find <faults> faults

    Examples:
      | after_s | disturbed     | calm_s | faults |
      | 2.1     | store         | 3.1    | 1      |
      | 2.1     | store         | 2.9    | 0      |
      | 2.1     | entry         | 3.1    | 1      |
      | 2.1     | entry         | 2.9    | 0      |
      | 2.1     | other entry   | 0.5    | 1      |
      | 2.1     | server's link | 0.5    | 1      |
      | 1.9     | store         | 5.0    | 0      |

  Scenario Outline: A call begins <after_s> s after version 2 of the weights, <calm_s> s after a disturbance of the <disturbed>
    Given version 2 of the weights is acknowledged at 100.0 s
    And the <disturbed> is disturbed until <calm_s> s before the request
    When the entry sends a call that begins on version <version> <after_s> s after the acknowledgement
    Then the checks of the soak find <faults> faults

    Examples:
      | after_s | version | disturbed     | calm_s | faults |
      | 4.1     | 1       | other entry   | 0.5    | 1      |
      | 4.1     | 2       | other entry   | 0.5    | 0      |
      | 3.9     | 1       | other entry   | 0.5    | 0      |
      | 4.1     | 1       | entry         | 2.9    | 0      |
      | 4.1     | 1       | entry         | 3.1    | 1      |
      | 9.0     | 1       | store         | 3.9    | 0      |
      | 9.0     | 1       | store         | 4.1    | 1      |
      | 9.0     | 1       | server's link | 3.9    | 0      |
      | 9.0     | 1       | server's link | 4.1    | 1      |

  Scenario Outline: A call reaches a server <after_s> s after it was marked as leaving, <calm_s> s after a disturbance of the store
    Given the server is marked as leaving at 100.0 s
    And the store is disturbed until <calm_s> s before the request
    When the entry sends a call that begins on version 1 <after_s> s after the acknowledgement
    Then the checks of the soak find <faults> faults

    Examples:
      | after_s | calm_s | faults |
      | 3.1     | 3.1    | 1      |
      | 3.1     | 2.9    | 0      |
      | 2.9     | 5.0    | 0      |
