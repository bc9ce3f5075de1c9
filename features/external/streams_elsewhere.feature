Feature: The rest of a stream from another engine
  A stream that broke off goes on with its next token, or fails; nothing else of an
  engine's answer is a token, and only the end event ends it.

  @always_2
  Scenario Outline: The rest of a stream after 2 tokens is answered by <answer>
    Given a server that answers as a script says
    When the rest of a stream after 2 tokens is answered by <answer>
    Then the rest has <tokens> tokens and is <outcome>

    Examples: errors
      | answer                             | tokens | outcome |
      | status 400                         | 0      | refused |
      | status 404                         | 0      | refused |
      | status 429                         | 0      | refused |
      | status 500                         | 0      | lost    |
      | status 500 with tokens             | 0      | lost    |
      | status 503                         | 0      | refused |
      | status 302                         | 0      | lost    |
      | status 303                         | 0      | lost    |
      | status 204                         | 0      | lost    |
      | what is not HTTP                   | 0      | lost    |
      | nothing before a close             | 0      | lost    |

    Examples: successes
      | answer                             | tokens | outcome |
      | a text                             | 0      | lost    |
      | a JSON document                    | 0      | lost    |
      | an error head as a stream          | 0      | lost    |
      | an error event                     | 0      | lost    |
      | nothing in chunks                  | 0      | lost    |
      | nothing without a frame            | 0      | lost    |
      | tokens from 0                      | 0      | lost    |
      | tokens from 3                      | 0      | lost    |
      | an end with another total          | 0      | lost    |
      | tokens without an attempt          | 0      | lost    |
      | tokens of another attempt          | 0      | lost    |
      | tokens 2 and 3, then a reset       | 2      | lost    |
      | tokens 2 and 3, then a text        | 2      | lost    |
      | tokens 2 and 3, then an error head | 2      | lost    |
      | tokens 2 and 3                     | 2      | whole   |
      | tokens 2 and 3 without a frame     | 2      | whole   |
      | tokens 2 and 3 after status 102    | 2      | whole   |
      | tokens 2 and 3 with trailers       | 2      | whole   |
