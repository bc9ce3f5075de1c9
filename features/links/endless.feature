Feature: Messages of peers that never end
  A peer in trouble may announce more than it sends, send byte by byte or stop inside a
  message. What it can take is bounded in bytes, time and memory.

  Scenario Outline: A peer that <behaviour> is disconnected within <limit_s> s
    Given a stream hub in memory
    When a peer <behaviour>
    Then the stream hub disconnects it within <limit_s> s
    And the stream hub holds nothing of it

    Examples: behaviours
      | behaviour                               | limit_s |
      | announces a hello of 1 MB               | 0       |
      | sends its hello byte by byte            | 2.1     |
      | stops inside its hello                  | 2.1     |
      | announces a frame of 3 MB               | 0       |
      | sends a frame of 2 MB byte by byte      | 60      |
      | stops inside a frame of 2 MB            | 60      |

  Scenario: A peer that sends whole messages byte by byte is kept
    Given a stream hub in memory
    When a peer sends 50 messages byte by byte
    Then the stream hub has received 50 messages and keeps the peer

  Scenario: Messages without end do not take the memory of the process together
    Given a stream hub in memory
    When 40 peers stop inside frames of 2 MB and another one sends a message
    Then they take at most 64 MB
    And the stream hub has received 1 messages and keeps the peer

  Scenario: A message that is cut at any byte is not delivered
    Then of 3 messages, cut at any byte, just the whole ones are delivered
