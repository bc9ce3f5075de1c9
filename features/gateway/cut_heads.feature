Feature: A head that is cut in its middle is no answer
  An endpoint may stop in the middle of its answer's head and close or reset the
  connection. Its client gets a failure, or the whole answer of another endpoint.

  @always_2
  Scenario Outline: A head that is cut on <case>, on a route that <kind>
    Then a head cut at any byte, on <case>, gives no client of <kind> a success

    Examples: cases
      | case                   | kind                |
      | a call of HTTP/1.0     | may repeat          |
      | a call of HTTP/1.0     | runs once only      |
      | a call of HTTP/1.0     | streams and resumes |
      | a call of HTTP/1.0     | streams once        |
      | a HEAD call            | may repeat          |
      | a HEAD call            | runs once only      |
      | a HEAD call            | streams and resumes |
      | a HEAD call            | streams once        |
      | interim answers        | may repeat          |
      | interim answers        | runs once only      |
      | interim answers        | streams and resumes |
      | interim answers        | streams once        |
      | another endpoint       | may repeat          |
      | another endpoint       | runs once only      |
      | another endpoint       | streams and resumes |
      | another endpoint       | streams once        |
      | a kept connection      | may repeat          |
      | a kept connection      | streams and resumes |
      | two attempts           | may repeat          |
      | two attempts           | streams and resumes |
      | two attempts, both cut | may repeat          |
      | two attempts, both cut | streams and resumes |
