Feature: How long answers are taken to be
  Lengths are learnt from whole answers and from cut ones, and a slot goes first
  to those that have time for a long answer.

  Background:
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | only     | 1     | 8000                 | 50                  |

  Scenario: Answers that are cut are not taken for short ones
    Given the core has seen 60 whole answers of 10 tokens to "org"
    And the core has seen 60 cut answers of 40 tokens to "org"
    When the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 2    | 8       | 100    | 800       |
    Then the core refused "a" as "deadline_unreachable"

  Scenario: Whole answers alone are taken at their length
    Given the core has seen 60 whole answers of 10 tokens to "org"
    When the core is given the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 2    | 8       | 100    | 800       |
    Then the core granted "a" on "only"

  Scenario: One without time for a long answer leaves its chance to others
    Given the core has seen 8 whole answers of 10 tokens to "modest"
    And the core has seen 2 whole answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 2 of "greedy"
    When the core is given the requests
      | id  | tier | prefill | decode | budget_ms | organisation |
      | old | 2    | 8       | 100    | 4000      | modest       |
    And 2500 ms pass for the core
    And the core is given the requests
      | id    | tier | prefill | decode | budget_ms | organisation |
      | fresh | 2    | 8       | 100    | 60000     | greedy       |
    And the core sees one request end on "only"
    Then the core granted "fresh" on "only"
    And the core has not decided "old"
    When the core sees one request end on "only"
    Then the core granted "old" on "only"

  Scenario: One that only a short answer can save goes before lower tiers
    Given the core has seen 4 whole answers of 10 tokens to "modest"
    And the core has seen 6 whole answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core is given the requests
      | id     | tier | prefill | decode | budget_ms | organisation |
      | urgent | 0    | 8       | 100    | 4000      | modest       |
      | job    | 2    | 8       | 100    | 60000     | greedy       |
    And 3000 ms pass for the core
    And the core sees one request end on "only"
    Then the core granted "urgent" on "only"
    And the core has not decided "job"

  Scenario: It leaves the slot to its own tier's requests that have time
    Given the core has seen 4 whole answers of 10 tokens to "modest"
    And the core has seen 6 whole answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core is given the requests
      | id     | tier | prefill | decode | budget_ms | organisation |
      | urgent | 0    | 8       | 100    | 4000      | modest       |
    And 3000 ms pass for the core
    And the core is given the requests
      | id    | tier | prefill | decode | budget_ms | organisation |
      | fresh | 0    | 8       | 100    | 60000     | greedy       |
    And the core sees one request end on "only"
    Then the core granted "fresh" on "only"

  Scenario: Those of its tier that may not use the slot do not keep it from one
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | only     | 1     | 8000                 | 50                  |
      | other    | 1     | 8000                 | 50                  |
    And the core has seen 4 whole answers of 10 tokens to "modest"
    And the core has seen 6 whole answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core is given the requests
      | id     | tier | prefill | decode | budget_ms | organisation | excluded |
      | urgent | 0    | 8       | 100    | 4000      | modest       |          |
      | job    | 2    | 8       | 100    | 60000     | greedy       |          |
    And 3000 ms pass for the core
    And the core is given the requests
      | id    | tier | prefill | decode | budget_ms | organisation | excluded |
      | fresh | 0    | 8       | 100    | 60000     | greedy       | only     |
    And the core sees one request end on "only"
    Then the core granted "urgent" on "only"

  Scenario: One that not even a short answer can save takes no slot
    Given the core has seen 4 whole answers of 50 tokens to "modest"
    And the core has seen 6 whole answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core is given the requests
      | id     | tier | prefill | decode | budget_ms | organisation |
      | urgent | 0    | 8       | 100    | 4000      | modest       |
      | job    | 2    | 8       | 100    | 60000     | greedy       |
    And 3500 ms pass for the core
    And the core sees one request end on "only"
    Then the core granted "job" on "only"
