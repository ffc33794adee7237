Feature: Reserve for bursts
  Long requests leave slots free by the size of recent bursts of higher tiers, and
  use every slot when there was no burst.

  Background:
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | one      | 8     | 8000                 | 80                  |
      | two      | 8     | 8000                 | 80                  |

  Scenario: Without a recent burst, long requests use every slot
    When the core receives many long requests of tier 2
    Then the core runs 16 requests of tier 2

  Scenario: After a burst, long requests leave slots for the next one
    Given the core has served a burst of 30 short requests
    When the core receives many long requests of tier 2
    Then the core runs from 8 to 14 requests of tier 2
    When the core receives the requests
      | id | tier | decode | prefill | budget_ms |
      | a  | 0    | 20     | 50      | 2000      |
    Then the core granted "a" at once

  Scenario: The reserve expires when no burst follows
    Given the core has served a burst of 30 short requests
    When 600000 ms pass for the core
    And the core receives many long requests of tier 2
    Then the core runs 16 requests of tier 2
