Feature: Connections between processes
  A process sends to peers that are slow, refuse, say nothing or vanish. None of them
  may hold a caller back for long, take unbounded memory or lose another's messages.

  Scenario Outline: A dial ends when <case>
    Given a stream hub "alpha"
    When the stream hub dials a peer in the case "<case>"
    Then the stream dial ends with <result> within <limit> s
    And the stream hub keeps <kept> connections

    Examples:
      | case                                   | result        | limit | kept |
      | the peer answers                       | a connection  | 1     | 1    |
      | the port refuses                       | no connection | 1     | 0    |
      | the peer never says hello              | no connection | 3     | 0    |
      | the peer closes before its hello       | no connection | 3     | 0    |
      | the peer sends something else as hello | no connection | 3     | 0    |
      | the peer is another instance           | no connection | 3     | 1    |

  Scenario: A dial is not ended by the time limit of an earlier one
    Given a stream hub "alpha"
    When the stream hub dials a silent peer 1.8 s after a refused dial
    Then the stream dial ends with a connection within 1 s

  Scenario: Two dials to one peer share a connection
    Given a stream hub "alpha"
    And a stream hub "beta"
    When both stream dials of "alpha" go to "beta" at once
    Then both stream dials give the same connection

  Scenario: Two hubs that dial each other at once deliver each message once
    Given a stream hub "alpha"
    And a stream hub "beta"
    When the stream hubs dial each other at once
    And each stream hub sends 100 messages
    Then each stream hub received the messages that were sent, each once

  Scenario: A peer that reads nothing gets a bounded queue and later every message
    Given a stream hub "alpha"
    And a connected peer that reads nothing
    When the stream hub sends 1 MB messages until one is refused
    Then the stream queue holds at most its bound and the refusal is counted
    When the stream peer reads again
    Then the stream peer gets every accepted message in order

  Scenario: A message counts as sent only when the link took it
    Given a stream connection whose transport is full after each message
    When 2 messages are sent over the full connection
    Then 0 messages are reported as sent
    When the transport of the full connection has room again
    Then 1 message is reported as sent

  Scenario: Messages on a connection that ends are reported as given up
    Given a stream hub "alpha"
    And a connected peer that reads nothing
    When the stream hub sends 1 MB messages until one is refused
    And the stream peer closes the connection
    Then every accepted message is reported as sent

  Scenario: A port refuses connections above the bound and takes new ones later
    Given a stream hub "alpha"
    When 1030 connections to the stream hub are opened
    Then the stream hub held 1024 connections and counted 6 refused

  Scenario: Nobody knows which messages fill the links between regions
    Given a stream hub "alpha"
    When the stream hub receives 2 messages of 100 bytes from region "south"
    And the stream hub receives 1 messages of 70 bytes from region "north"
    Then its metrics show 200 bytes from other regions and 70 bytes from its own
