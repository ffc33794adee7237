Feature: Stragglers and dead endpoints
  An endpoint that has become slow loses grants within two seconds and wins them
  back by a probe.

  Background:
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | fast     | 4     | 8000                 | 80                  |
      | slow     | 4     | 6000                 | 60                  |

  Scenario: Token gaps ten times as long take an endpoint's grants
    Given the core has seen "fast" keep its pace
    When "fast" becomes 10 times slower for 1500 ms under the core's eyes
    And the core is given the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    Then the core granted "a" on "slow"

  Scenario: An endpoint that falls silent loses grants
    Given the core has seen "fast" keep its pace
    When 1500 ms pass for the core
    And the core is given the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    Then the core granted "a" on "slow"

  # Guards against an endpoint that stays out of use because its pace was not known yet.
  Scenario: An endpoint that was silent before its pace was known gets grants again
    When the core is given the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    And 1500 ms pass for the core
    And the core sees "a" end
    And the core is given the requests
      | id | tier | decode |
      | b  | 0    | 10     |
    Then the core granted "b" on "fast"

  Scenario: A straggler that keeps its pace again gets grants again
    Given the core has seen "fast" keep its pace
    When "fast" becomes 10 times slower for 1500 ms under the core's eyes
    And "fast" becomes 1 times slower for 1500 ms under the core's eyes
    And the core is given the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    Then the core granted "a" on "fast"

  Scenario: An endpoint that refuses calls is tried again later only
    When the core is given the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    And the core sees "a" refused by its endpoint
    And the core is given the requests
      | id | tier | decode |
      | b  | 0    | 10     |
    Then the core granted "b" on "slow"

  Scenario: A straggler is probed by the lowest tier that waits
    Given the core has seen "fast" keep its pace
    When "fast" becomes 10 times slower for 1500 ms under the core's eyes
    And the core is given 4 requests of tier 0
    And the core is given the requests
      | id   | tier | decode | budget_ms |
      | high | 0    | 10     | 60000     |
      | low  | 2    | 10     | 60000     |
    And the core sees its stragglers stay slow for 1000 ms
    Then the core granted "low" on "fast"

  Scenario: A straggler is probed by one of a higher tier that nothing else can save
    Given the core has seen "fast" keep its pace
    And the core has seen 4 whole answers of 10 tokens to "modest"
    And the core has seen 6 whole answers of 100 tokens to "modest"
    When "fast" becomes 10 times slower for 1500 ms under the core's eyes
    And the core is given 4 requests of tier 0
    And 100 ms pass for the core
    And the core is given the requests
      | id     | tier | decode | budget_ms | organisation |
      | urgent | 0    | 100    | 2200      | modest       |
      | low    | 2    | 10     | 60000     | modest       |
    And the core sees its stragglers stay slow for 400 ms
    Then the core granted "urgent" on "fast"
    And the core has not decided "low"
