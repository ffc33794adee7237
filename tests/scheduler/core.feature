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

  Scenario: An endpoint that has returned gets grants again
    When the core hears that "fast" is leaving
    And the core hears that "fast" has returned
    And the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "fast"

  Scenario: An endpoint that returns takes what waits
    When the core hears that "fast" is leaving
    And the core is given 3 requests of tier 0
    Then the core has granted 2 requests
    When the core hears that "fast" has returned
    Then the core has granted 3 requests

  Scenario: An endpoint declared as leaving does not return by itself
    When the endpoint "fast" is declared as leaving
    And the core hears that "fast" has returned
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

  Scenario: Engines are granted no more than their slots
    When the core is given 10 requests of tier 0
    Then the core has granted 4 requests

  Scenario: Memory that is taken holds a large request back
    When the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 60000   | 10     | 600000    |
      | b  | 0    | 60000   | 10     | 600000    |
      | c  | 0    | 60000   | 10     | 600000    |
    And 30000 ms pass for the core
    Then the core has not decided "c"

  Scenario: A request larger than any endpoint's memory is refused at once
    When the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 120000  | 10     | 600000    |
    Then the core refused "a" as "no_endpoint"

  Scenario: A report of somebody else's load takes slots
    When the core hears from "fast" of 2 running and 0 waiting, 0 ms ago
    And the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "slow"

  Scenario: A report that is far behind takes none
    When the core hears from "fast" of 2 running and 0 waiting, 9000 ms ago
    And the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 100     | 10     | 60000     |
    Then the core granted "a" on "fast"

  Scenario: A data centre that is cut off uses its share of slots
    When the core may use a share of 0.5 of the slots
    And the core is given 10 requests of tier 0
    Then the core has granted 2 requests

  Scenario: A busy endpoint that is removed and declared again gets grants again
    When the core is given 1 requests of tier 0
    And the endpoint "fast" is removed from the core's tree
    And the core is given the requests
      | id   | tier | prefill | decode | budget_ms |
      | gone | 0    | 100     | 10     | 60000     |
    And all endpoints are in the core's tree again
    And the core is given the requests
      | id   | tier | prefill | decode | budget_ms |
      | back | 0    | 100     | 10     | 60000     |
    Then the core granted "gone" on "slow"
    And the core granted "back" on "fast"
