Feature: Strangers at a peer port do not shut out real peers
  Connections without a hello give way first, then those of unknown peers.

  Scenario: A real peer is taken while unknown ones fill the port
    Given a stream hub in memory that takes 4 connections and knows the peer "beta"
    When 4 strangers connect, one every 0.1 s
    And the peer "beta" connects 1 s later
    Then the stream hub in memory has 4 connections, one of them to "beta"

  Scenario: A real peer stays while unknown ones come
    Given a stream hub in memory that takes 4 connections and knows the peer "beta"
    When the peer "beta" connects 1 s later
    And 12 strangers connect, one every 1 s
    Then the stream hub in memory has 4 connections, one of them to "beta"

  Scenario: A connection whose hello is on its way does not give way
    Given a stream hub in memory that takes 4 connections and knows the peer "beta"
    When 4 connections without a hello are opened
    And 3 strangers connect, one every 0.1 s
    Then it has refused 3 connections and cut none

  Scenario: The messages of unknown peers are dropped before the larger one of a real one
    Given a stream hub in memory that takes 8 connections and knows the peer "beta"
    And it may hold 1000 bytes of incomplete messages
    When the peer "beta" stops inside a message after 600 bytes
    And 5 strangers stop inside a message after 300 bytes
    Then the peer "beta" is still connected and at most 1000 bytes are held

  Scenario: What unknown peers do not read is dropped before what a real one does not
    Given a stream hub in memory that takes 8 connections and knows the peer "beta"
    And it may hold 1000 bytes that are not read
    When 300 bytes are sent to 5 strangers and 600 bytes to "beta", and nobody reads
    Then the peer "beta" is still connected and at most 1000 bytes are not read
