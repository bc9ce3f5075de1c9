Feature: An endpoint that leaves with its half
  After a few seconds an endpoint that left gets no new work.

  @always_5
  Scenario Outline: An endpoint removed from its row gets no new work despite <fault>
    Guards against an entry or an agent that goes on with the older row.
    Given a table deployment of 3 data centres
    And new work that reaches an endpoint
    When its row is accepted without the endpoint and there is <fault>
    Then the endpoint gets no new work later than 3 s after the acceptance

    Examples:
      | fault                                               |
      | no fault                                            |
      | the death of every poller                           |
      | a pause of every poller for 30 s                    |
      | no way from any poller to the table service         |
      | a pause of every agent for 5 s                      |
      | a partition of two data centres from the platform   |
      | a restart of every agent                            |
      | a restart of every entry instance                   |
      | a lost answer                                       |
      | a race with another operator                        |
      | clocks that differ                                  |

  @always_5
  Scenario Outline: An endpoint with a leaving time gets no new work despite <fault>
    Guards against a leaving time that needs the table service or a message to hold.
    Given a table deployment of 3 data centres
    And new work that reaches an endpoint
    And a leaving time in 10 s that is in force everywhere
    When the leaving time passes during <fault>
    Then the endpoint gets no new work later than 1 s after the leaving time

    Examples:
      | fault                                     |
      | no fault                                  |
      | an outage of the table service            |
      | a partition of the endpoint's data centre |
      | a partition of every data centre          |
      | Unix clocks that differ by 0.5 s          |
      | a restart of the endpoint in an outage    |
      | a restart of every entry in an outage     |
      | an older table service                    |
