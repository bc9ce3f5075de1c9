@processes
Feature: Hints of prefix caches
  A hint that stays after its prefix has left an engine sends requests to the wrong
  endpoint. These scenarios run on a fresh deployment: after other scenarios entries
  sometimes get no hints of one engine, see the open points in docs/PROMISES.md.

  Scenario Outline: A cache hint leaves the routers after the <loss> of the prefix
    Given a deployment that serves version "v1"
    When requests fill the prefix caches until both entries have hints of every engine
    And the prefixes meet the <loss>
    Then no entry has more hints of an engine than its cache holds

    Examples:
      | loss                      |
      | eviction by other prompts |
      | crash of an engine        |
      | replacement of an agent   |
