Feature: Checks that stand alone
  Each of these mechanisms is the only one on its way: without it a scenario here fails.

  @always_5
  Scenario Outline: An agent refuses work <work>
    Given an agent whose check <check>
    When it is sent work <work>
    Then the work is refused as "<reason>" and its engine is called by nobody

    Examples:
      | check                    | work                         | reason                        |
      | denies the grant         | that the table denies        | not granted                   |
      | grants it for digest new | for the weights old          | the endpoint serves other weights |
      | cannot resume            | that resumes at offset 3     | the engine cannot resume a stream |
      | grants it                | whose deadline has passed    | the deadline has passed       |

  @always_4
  Scenario Outline: A claim that is written <when>
    Given a claim whose lease ends at 4.0 s
    When its write takes effect at <at> s
    Then its call is <outcome>

    Examples:
      | when                  | at  | outcome    |
      | in time               | 1.0 | dispatched |
      | after its lease ended | 4.5 | denied     |

  @always_2
  Scenario Outline: An answer whose head <answer>
    Given an agent whose check grants it for digest new
    When it is sent work that streams and the head of the engine's answer <answer>
    Then the entry instance gets <gets>

    Examples:
      | answer                            | gets               |
      | echoes the attempt                | the answer         |
      | echoes another attempt            | no part of it      |
      | names other weights               | no part of it      |
      | starts at another offset          | no part of it      |
