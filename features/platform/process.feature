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
    When the process gets SIGTERM during a call
    Then it is not ready at once
    And the call is answered in full
    And the process exits with 0 within 8 s
    And every line that it wrote can be read as key=value pairs
