Feature: Cold endpoints get no more requests than they bear, from all entry instances
  A cold endpoint bears 15 requests a second. The bound in any second is 1.5 times that,
  plus 5.

  Scenario Outline: Endpoints come back cold to <entries> entry instances
    Given a replay of <entries> entry instances whose endpoints come back cold
    When it is played for 5 s with seed <seed> after the return, all well
    Then in any 1 s no more than 27.5 requests reach a cold endpoint
    And at least 0.9 of what cold endpoints bear is used

    Examples:
      | entries | seed |
      | 6       | 1    |
      | 45      | 2    |
      | 100     | 3    |

  Scenario Outline: Endpoints come back cold to <entries> entry instances, <fault>
    Given a replay of <entries> entry instances whose endpoints come back cold
    When it is played for 5 s with seed <seed> after the return, <fault>
    Then in any 1 s no more than 27.5 requests reach a cold endpoint

    # Each instance that is cut off is alone.
    Examples:
      | entries | seed | fault                  |
      | 6       | 4    | half of them cut off   |
      | 45      | 5    | half of them cut off   |
      | 6       | 6    | an issuer stands still |
      | 45      | 7    | an issuer stands still |

  Scenario: A deployment without a bound for cold endpoints uses them as before
    Given a replay of 6 entry instances whose endpoints come back cold
    When it is played for 3 s without a bound
    Then no permits are needed

  Scenario: An endpoint whose warm-up is over takes any number of requests
    Given a replay of 6 entry instances whose endpoints come back cold
    When it is played until 1 s after the warm-up
    Then no permits are needed
