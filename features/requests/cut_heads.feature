@always_2
Feature: Answers that are cut in their head, from the engine to the caller
  Guards against a success with an empty or short body for a caller whose engine or
  service stopped in the middle of its answer's head.

  Scenario Outline: A <kind> cut in its head <before>, and a caller with <caller>
    Given an engine or service, its agent and an entry instance with an HTTP front
    When a <kind> is cut at drawn bytes of its head <before>, asked for with <caller>
    Then no caller got a success, and each got a whole answer
    And an answer that is not cut is passed on

    Examples:
      | kind         | before                           | caller        |
      | service call | on a new connection              | HTTP/1.1      |
      | service call | on a new connection              | HTTP/1.0      |
      | service call | on a new connection              | HTTP/1.1 HEAD |
      | service call | on a new connection              | HTTP/1.0 HEAD |
      | service call | after an interim response        | HTTP/1.1      |
      | service call | after an interim response        | HTTP/1.0      |
      | service call | after an interim response        | HTTP/1.1 HEAD |
      | service call | after another answer             | HTTP/1.1      |
      | service call | after another answer             | HTTP/1.0      |
      | service call | after another answer             | HTTP/1.1 HEAD |
      | completion   | on a new connection              | HTTP/1.1      |
      | completion   | after an interim response        | HTTP/1.0      |
      | completion   | after another answer             | HTTP/1.1      |
      | stream       | on a new connection              | HTTP/1.1      |
      | stream       | on a new connection              | HTTP/1.0      |
      | stream       | after an interim response        | HTTP/1.1      |
      | stream       | after another answer             | HTTP/1.1      |
