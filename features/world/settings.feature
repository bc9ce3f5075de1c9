Feature: Settings of a process
  Settings are checked as a whole; a fault in one field must not hide another.

  Scenario: Valid settings are accepted
    Given valid settings of an agent
    When the settings are checked
    Then the settings are accepted

  Scenario Outline: A bad settings file names the path of the error: <path>
    Given valid settings of an agent
    And the settings field <path> is <value>
    When the settings are checked
    Then the settings error starts with <path>:

    Examples:
      | path               | value                          |
      | name               | ""                             |
      | role               | "boss"                         |
      | listen.http_port   | 70000                          |
      | listen.host        | "localhost"                    |
      | platform.table_url | "table"                        |
      | link.bytes_per_s   | 0                              |
      | objectives.first_token.target | 1.5                 |
      | endpoint.capacity  | "many"                         |
      | endpoint.kind      | "batch"                        |
      | drain_limit_s      | true                           |
      | once_calls         | {}                             |
      | colour             | "red"                          |
      | platform           | []                             |

  Scenario: Every error of a file is listed
    Given valid settings of an agent
    And the settings field name is ""
    And the settings field listen.peer_port is -1
    And the settings field platform.origin_url is 3
    When the settings are checked
    Then 3 settings errors are listed

  Scenario Outline: A declarations file with <fault> is rejected
    Given a valid declarations document
    And the declarations have <fault>
    When the declarations are checked
    Then the declarations error mentions <place>

    Examples:
      | fault                 | place                     |
      | an unknown field      | rows[0] drafts.colour     |
      | a negative size       | rows[0] drafts.size_bytes |
      | a missing digest      | manifest_digest           |
      | an unknown half       | no half is named          |
      | a repeated row        | duplicate row name        |
      | a repeated client     | duplicate client          |
      | an instance in two    | is also in                |
      | an unknown kind       | rows[0] drafts.kind       |
      | a text limit          | limits[estancia-perez]    |
      | a base without row    | no row is named           |
      | a list for the table  | must be a JSON object     |

  Scenario: Every example file is valid
    Given the example deployments
    When every example is checked
    Then no example has an error
