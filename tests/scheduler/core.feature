Feature: The decision core grants slots
  A request is granted once, to an endpoint that can take it, in the order of
  the tiers.

  Background:
    Given a core with the endpoints
      | endpoint | slots | kv_tokens | prefill_tokens_per_s | decode_tokens_per_s |
      | fast     | 2     | 100000    | 8000                 | 80                  |
      | slow     | 2     | 100000    | 6000                 | 60                  |

  Scenario: A request goes to the endpoint that finishes it first
    When the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 800     | 20     | 60000     |
    Then the core granted "a" on "fast"

  Scenario: A repeated handle is granted once
    When the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 800     | 20     | 60000     |
      | a  | 0    | 800     | 20     | 60000     |
    Then the core decided "a" 1 times

  Scenario: A higher tier goes first when a slot is free again
    Given the core's slots are all taken by tier 1
    When the core is given the requests
      | id   | tier | prefill | decode | budget_ms |
      | low  | 2    | 100     | 10     | 60000     |
      | high | 0    | 100     | 10     | 60000     |
    And the core sees one request end on "fast"
    Then the core granted "high" on "fast"
    And the core has not decided "low"

  Scenario: A handle that is withdrawn gets no decision
    Given the core's slots are all taken by tier 1
    When the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    And the core is told to forget "a"
    And the core sees one request end on "fast"
    Then the core has not decided "a"

  Scenario: A leaving endpoint gets no grant
    When the core hears that "fast" is leaving
    And the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "slow"

  Scenario: A request dispatched under an earlier scheduler holds its slot
    When the core hears that 2 requests run on "fast" already
    And the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "slow"
