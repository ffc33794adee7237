Feature: Learnt answer lengths
  Lengths are learnt from complete and cut answers. A slot goes first to requests
  with enough time for a long answer.

  Background:
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | only     | 1     | 8000                 | 50                  |

  Scenario: Cut answers do not count as short answers
    Given the core has served 60 complete answers of 10 tokens to "org"
    And the core has served 60 cut answers of 40 tokens to "org"
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 2    | 8       | 100    | 800       |
    Then the core refused "a" as "deadline_unreachable"

  Scenario: Complete answers count at their length
    Given the core has served 60 complete answers of 10 tokens to "org"
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 2    | 8       | 100    | 800       |
    Then the core granted "a" on "only"

  Scenario: A request without time for a long answer lets others go first
    Given the core has served 8 complete answers of 10 tokens to "modest"
    And the core has served 2 complete answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 2 of "greedy"
    When the core receives the requests
      | id  | tier | prefill | decode | budget_ms | organisation |
      | old | 2    | 8       | 100    | 4000      | modest       |
    And 2500 ms pass for the core
    And the core receives the requests
      | id    | tier | prefill | decode | budget_ms | organisation |
      | fresh | 2    | 8       | 100    | 60000     | greedy       |
    And one request of the core ends on "only"
    Then the core granted "fresh" on "only"
    And the core has not decided "old"
    When one request of the core ends on "only"
    Then the core granted "old" on "only"

  Scenario: A request with time for a short answer only goes before lower tiers
    Given the core has served 4 complete answers of 10 tokens to "modest"
    And the core has served 6 complete answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core receives the requests
      | id     | tier | prefill | decode | budget_ms | organisation |
      | urgent | 0    | 8       | 100    | 4000      | modest       |
      | job    | 2    | 8       | 100    | 60000     | greedy       |
    And 3000 ms pass for the core
    And one request of the core ends on "only"
    Then the core granted "urgent" on "only"
    And the core has not decided "job"

  Scenario: A request with time for a short answer only lets its own tier go first
    Given the core has served 4 complete answers of 10 tokens to "modest"
    And the core has served 6 complete answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core receives the requests
      | id     | tier | prefill | decode | budget_ms | organisation |
      | urgent | 0    | 8       | 100    | 4000      | modest       |
    And 3000 ms pass for the core
    And the core receives the requests
      | id    | tier | prefill | decode | budget_ms | organisation |
      | fresh | 0    | 8       | 100    | 60000     | greedy       |
    And one request of the core ends on "only"
    Then the core granted "fresh" on "only"

  Scenario: Requests that exclude the free endpoint do not block an urgent request
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | only     | 1     | 8000                 | 50                  |
      | other    | 1     | 8000                 | 50                  |
    And the core has served 4 complete answers of 10 tokens to "modest"
    And the core has served 6 complete answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core receives the requests
      | id     | tier | prefill | decode | budget_ms | organisation | excluded |
      | urgent | 0    | 8       | 100    | 4000      | modest       |          |
      | job    | 2    | 8       | 100    | 60000     | greedy       |          |
    And 3000 ms pass for the core
    And the core receives the requests
      | id    | tier | prefill | decode | budget_ms | organisation | excluded |
      | fresh | 0    | 8       | 100    | 60000     | greedy       | only     |
    And one request of the core ends on "only"
    Then the core granted "urgent" on "only"

  Scenario: A request too late even for a short answer gets no slot
    Given the core has served 4 complete answers of 50 tokens to "modest"
    And the core has served 6 complete answers of 100 tokens to "modest"
    And the core's slots are all taken by tier 0 of "greedy"
    When the core receives the requests
      | id     | tier | prefill | decode | budget_ms | organisation |
      | urgent | 0    | 8       | 100    | 4000      | modest       |
      | job    | 2    | 8       | 100    | 60000     | greedy       |
    And 3500 ms pass for the core
    And one request of the core ends on "only"
    Then the core granted "job" on "only"
