Feature: Plot of burn rates

  Scenario: The plot has a line for each objective and refers to no other server
    Given burn scrapes a@1000/1:0/0 a@1100/1:5/10 a@1200/1:10/20 a@1300/1:10/40
    When the burn plot is written
    Then the plot file is SVG with 3 points and names every objective
    And the plot file fetches nothing

  Scenario: A plot without events says so
    Given burn scrapes none
    When the burn plot is written
    Then the plot file is SVG with 0 points and names every objective

  Scenario: A plot that cannot be written leaves the older file
    Given burn scrapes none
    When the burn plot is written to a folder that is not there
    Then the plot error names the file
