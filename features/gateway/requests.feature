Feature: Requests of clients that cannot be served
  Bad input gets a clear error, and a request that may well be allowed is not denied
  while the configuration may be old.

  Scenario Outline: <request>
    Given a gateway with 1 endpoints and a route that may repeat
    When a client sends <request>
    Then the client gets <status>
    And no endpoint was sent anything

    Examples:
      | request                              | status |
      | headers over the limit               | 431    |
      | a body over the limit                | 413    |
      | two conflicting lengths              | 400    |
      | a length and chunks                  | 400    |
      | two hosts                            | 400    |
      | no host                              | 400    |
      | a target that is no path             | 400    |
      | what is not HTTP                     | 400    |
      | headers that do not end in time      | 408    |
      | an unknown key                       | 401    |
      | no key                               | 401    |
      | a path without a route               | 404    |
      | an unknown key to an old copy        | 503    |
      | a path without a route to an old copy | 503   |
      | a call before a configuration is known | 503  |
      | a request that crashed 3 endpoints   | 503    |

  Scenario: Headers that only the system may set are replaced
    Given a gateway with 1 endpoints and a route that may repeat
    When a client sends its own tenant, instance, priority and path headers
    Then the endpoint is sent the account of the key, its own name and no other of them
