Feature: The scheduling core grants slots
  Each request is granted once, to an endpoint with room for it, higher tiers
  first.

  Background:
    Given a core with the endpoints
      | endpoint | slots | kv_tokens | prefill_tokens_per_s | decode_tokens_per_s |
      | fast     | 2     | 100000    | 8000                 | 80                  |
      | slow     | 2     | 100000    | 6000                 | 60                  |

  Scenario: A request goes to the endpoint that finishes it first
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 800     | 20     | 60000     |
    Then the core granted "a" on "fast"

  Scenario: A request that is submitted twice is granted once
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 800     | 20     | 60000     |
      | a  | 0    | 800     | 20     | 60000     |
    Then the core decided "a" 1 times

  Scenario: A freed slot goes to the highest waiting tier
    Given the core's slots are all taken by tier 1
    When the core receives the requests
      | id   | tier | prefill | decode | budget_ms |
      | low  | 2    | 100     | 10     | 60000     |
      | high | 0    | 100     | 10     | 60000     |
    And one request of the core ends on "fast"
    Then the core granted "high" on "fast"
    And the core has not decided "low"

  Scenario: A withdrawn request gets no decision
    Given the core's slots are all taken by tier 1
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    And the request "a" is withdrawn from the core
    And one request of the core ends on "fast"
    Then the core has not decided "a"

  Scenario: An endpoint marked as leaving gets no grant
    When the core marks "fast" as leaving
    And the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "slow"

  Scenario: An endpoint marked as returned gets grants again
    When the core marks "fast" as leaving
    And the core marks "fast" as returned
    And the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "fast"

  Scenario: Waiting requests are granted when an endpoint returns
    When the core marks "fast" as leaving
    And the core receives 3 requests of tier 0
    Then the core has granted 2 requests
    When the core marks "fast" as returned
    Then the core has granted 3 requests

  Scenario: An endpoint declared as leaving stays out when marked as returned
    When the endpoint "fast" is declared as leaving
    And the core marks "fast" as returned
    And the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "slow"

  Scenario: A request granted by an earlier scheduler occupies its slot
    When the core registers 2 requests that already run on "fast"
    And the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "slow"

  Scenario: Engines are granted no more than their slots
    When the core receives 10 requests of tier 0
    Then the core has granted 4 requests

  Scenario: A large request waits until its KV cache fits
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 60000   | 10     | 600000    |
      | b  | 0    | 60000   | 10     | 600000    |
      | c  | 0    | 60000   | 10     | 600000    |
    And 30000 ms pass for the core
    Then the core has not decided "c"

  Scenario: A request larger than any endpoint's KV cache is refused at once
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 120000  | 10     | 600000    |
    Then the core refused "a" as "no_endpoint"

  Scenario: Reported load of other schedulers reduces the free slots
    When the core receives a load report of "fast" with 2 running and 0 waiting, 0 ms old
    And the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "slow"

  Scenario: An old load report does not reduce the free slots
    When the core receives a load report of "fast" with 2 running and 0 waiting, 9000 ms old
    And the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "fast"

  Scenario: A partitioned data centre uses only its share of slots
    When the core is limited to a share of 0.5 of the slots
    And the core receives 10 requests of tier 0
    Then the core has granted 2 requests

  Scenario: A busy endpoint that is removed and declared again gets grants again
    When the core receives 1 requests of tier 0
    And the endpoint "fast" is removed from the core's tree
    And the core receives the requests
      | id   | tier | prefill | decode | budget_ms |
      | gone | 0    | 100     | 10     | 60000     |
    And all endpoints are in the core's tree again
    And the core receives the requests
      | id   | tier | prefill | decode | budget_ms |
      | back | 0    | 100     | 10     | 60000     |
    Then the core granted "gone" on "slow"
    And the core granted "back" on "fast"
