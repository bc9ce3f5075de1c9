Feature: A stream that broke off goes on at another endpoint, or visibly breaks
  A caller never finds an error, a head or the pieces of two runs in its stream, and a
  stream that is not whole has no end.

  @always_2
  Scenario Outline: A stream that breaks off by <break> and <answer>, for HTTP/<protocol>
    Given a gateway with 3 endpoints, 3 attempts and a route that streams and resumes
    When a stream for HTTP/<protocol> breaks off after event 2 by <break>
    And every other endpoint answers <answer>
    Then the caller's stream <seen>

    Examples: errors
      | break   | protocol | answer                             | seen            |
      | a reset | 1.1      | status 400                         | visibly breaks  |
      | a reset | 1.1      | status 404                         | visibly breaks  |
      | a reset | 1.0      | status 404                         | visibly breaks  |
      | a reset | 1.1      | status 410 without a length        | visibly breaks  |
      | a reset | 1.1      | status 500                         | visibly breaks  |
      | a reset | 1.0      | status 500                         | visibly breaks  |
      | a reset | 1.1      | status 500 without a signature     | visibly breaks  |
      | a reset | 1.1      | status 500 without a length        | visibly breaks  |
      | a reset | 1.1      | status 500 with events             | visibly breaks  |
      | a reset | 1.1      | status 502 with events, in chunks  | visibly breaks  |
      | a reset | 1.1      | status 504                         | visibly breaks  |
      | a reset | 1.1      | status 503                         | visibly breaks  |
      | a reset | 1.1      | status 503 that says "not run"     | visibly breaks  |
      | a reset | 1.0      | status 503 that says "not run"     | visibly breaks  |
      | a reset | 1.1      | status 429 that says "not run"     | visibly breaks  |
      | a reset | 1.1      | status 421                         | visibly breaks  |
      | a reset | 1.1      | status 302                         | visibly breaks  |
      | a reset | 1.1      | status 204                         | visibly breaks  |
      | a reset | 1.1      | what is not HTTP                   | visibly breaks  |
      | a reset | 1.1      | nothing before a close             | visibly breaks  |

    Examples: successes that are no rest of the stream
      | break   | protocol | answer                             | seen            |
      | a reset | 1.1      | a stream without a signature       | visibly breaks  |
      | a reset | 1.1      | a stream without an id             | visibly breaks  |
      | a reset | 1.1      | a stream of another call           | visibly breaks  |
      | a reset | 1.1      | a stream with an encoding          | visibly breaks  |
      | a reset | 1.1      | a JSON document                    | visibly breaks  |
      | a reset | 1.1      | a text                             | visibly breaks  |
      | a reset | 1.1      | a text without a type              | visibly breaks  |
      | a reset | 1.0      | a text without a type              | visibly breaks  |
      | a reset | 1.1      | an error head as a stream          | visibly breaks  |
      | a reset | 1.0      | an error head as a stream          | visibly breaks  |
      | a reset | 1.1      | an error event without an id       | visibly breaks  |
      | a reset | 1.1      | events without ids                 | visibly breaks  |
      | a reset | 1.0      | events without ids                 | visibly breaks  |
      | a reset | 1.1      | events from 4                      | visibly breaks  |
      | a reset | 1.0      | events from 4                      | visibly breaks  |
      | a reset | 1.1      | events 3 and 4, cut in chunk 2     | visibly breaks  |
      | a reset | 1.1      | nothing and a close, without frame | visibly breaks  |

    Examples: rests of the stream
      | break   | protocol | answer                             | seen            |
      | a reset | 1.1      | events from 3                      | is whole        |
      | a reset | 1.0      | events from 3                      | is whole        |
      | a reset | 1.1      | events from 1                      | is whole        |
      | a reset | 1.0      | events from 1                      | is whole        |
      | a reset | 1.1      | events from 3 with comments        | is whole        |
      | a reset | 1.1      | events from 3 with trailers        | is whole        |
      | a reset | 1.1      | events from 3 without a frame      | is whole        |
      | a reset | 1.1      | events from 3 after status 102     | is whole        |
      | a reset | 1.1      | events from 3 after a refusal of another call | is whole |

    Examples: ends of the first part
      | break                  | protocol | answer                     | seen           |
      | a close                | 1.1      | status 500                 | visibly breaks |
      | a close                | 1.0      | status 500                 | visibly breaks |
      | a close                | 1.1      | events from 3              | is whole       |
      | a cut chunk            | 1.1      | status 500                 | visibly breaks |
      | a cut chunk            | 1.1      | events from 3              | is whole       |
      | a cut event            | 1.1      | status 503                 | visibly breaks |
      | a cut event            | 1.1      | events from 3              | is whole       |
      | the end of a cut event | 1.1      | status 500                 | visibly breaks |
      | the end of a cut event | 1.1      | events from 3              | is whole       |
      | bytes that are no chunk | 1.1     | status 500                 | visibly breaks |
      | bytes that are no chunk | 1.1     | events from 3              | is whole       |
      | an error head          | 1.1      | status 500                 | visibly breaks |
      | an error head          | 1.1      | events from 3              | is whole       |
      | silence                | 1.1      | status 500                 | visibly breaks |
      | silence                | 1.1      | events from 3              | is whole       |

  @always_2
  Scenario Outline: A stream with <events> that breaks off is not joined with another run
    Given a gateway with 3 endpoints, 3 attempts and a route that streams and resumes
    When a stream with <events> breaks off
    Then the caller's connection is broken off
    And no other endpoint is sent the call

    Examples: events
      | events                              |
      | an event without an id at its end   |
      | no ids                              |

  @always_2
  Scenario Outline: Ids that <step> may go on at a higher one
    Given a gateway with 3 endpoints, 3 attempts and a route that streams and resumes
    When a stream with ids that <step> breaks off and goes on at a higher one
    Then the caller has all of these events and a complete end

    Examples: ids
      | step          |
      | grow by 6     |
      | are unsteady  |
      | are one so far |

  @always_2
  Scenario Outline: A caller that goes on after event 2 gets <answer> from event 3
    Given a gateway with 3 endpoints, 3 attempts and a route that streams and resumes
    When a caller asks for the events after 2 and gets <answer>
    Then it has only the events 3 and 4 and a complete end

    Examples: answers
      | answer        |
      | events from 1 |
      | events from 3 |
