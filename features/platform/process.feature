Feature: The entry process on the platform
  The real program against stand-ins of the platform, over real sockets.

  @always_2 @always_5 @always_6 @always_7
  Scenario: It serves, follows the store, survives an outage and stops gracefully
    Given a store with a configuration and a back end that needs 0.5 s
    When the entry process is started
    Then it becomes ready
    And a call is answered by the back end with its tenant and instance
    When the configuration moves the route to another path
    Then calls to the new path are answered and calls to the old one get 404
    When the store goes down
    Then calls to the new path are still answered
    And the metrics page shows
      | name                      | labels                               | at least |
      | requests_total            | outcome="answered", service="s"      | 3        |
      | requests_total            | outcome="turned_away", status="404"  | 1        |
      | attempts_total            | service="s"                          | 3        |
      | queue_seconds_count       | service="s"                          | 3        |
      | store_calls_total         | call="changes", outcome="answered"   | 1        |
      | store_calls_total         | outcome="unavailable"                | 1        |
      | table_version             | table="op"                           | 2        |
      | table_version_age_seconds | table="op"                           | 0        |
      | configuration_version     | process="edge-1"                     | 2        |
      | store_age_seconds         | process="edge-1"                     | 0.001    |
      | peak_memory_bytes         | process="edge-1"                     | 1000000  |
      | endpoints_known           | process="edge-1"                     | 1        |
    When the process gets SIGTERM during a call
    Then it is not ready at once
    And the call is answered in full
    And the process exits with 0 within 8 s
    And every line that it wrote can be read as key=value pairs

  Scenario Outline: The <role> process outlives odd rows among those of the servers
    Given a store with a configuration and a back end that needs 0.5 s
    And rows of the store that are nested deeply, too large and out of range
    When the <role> process is started
    Then it logs "unreadable_record"
    When another odd row is written, and a named version
    Then it logs the version and follows the store without an error
    And it runs on until it gets SIGTERM

    Examples:
      | role  |
      | entry |
      | agent |

  Scenario Outline: The <role> process takes changed settings and outlives faulty ones
    Given a store with a configuration and a back end that needs 0.5 s
    When the <role> process is started
    Then it logs "started"
    When its settings change and it gets SIGHUP
    Then it logs "settings_reloaded"
    When its settings become faulty and it gets SIGHUP
    Then it logs "settings_rejected"
    And it runs on until it gets SIGTERM

    Examples:
      | role  |
      | entry |
      | agent |
