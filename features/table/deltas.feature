Feature: Differences between configurations
  A difference turns one configuration into exactly the other one.

  Scenario: Applying a difference gives the other table
    Guards against rows, halves or an order that a difference loses.
    Given pairs of random tables
    Then the difference of each pair applied to the first gives the second
    And the written text of each equals its plain JSON text

  Scenario: A random document is refused as a difference or gives a table
    Guards against a malformed difference that ends the process.
    Given random JSON documents
    Then applying each gives a table or a ValueError
