Feature: Room for the next burst
  Long work that fills a lull leaves room in step with the recent arrivals of
  higher tiers, and fills everything when there were none.

  Background:
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | one      | 8     | 8000                 | 80                  |
      | two      | 8     | 8000                 | 80                  |

  Scenario: With no recent burst, long work takes every slot
    When the core is flooded with long work of tier 2
    Then the core runs 16 requests of tier 2

  Scenario: After a burst of checks, long work leaves room for the next
    Given the core has served a burst of 30 checks
    When the core is flooded with long work of tier 2
    Then the core runs from 8 to 14 requests of tier 2
    When the core is given the requests
      | id | tier | decode | prefill | budget_ms |
      | a  | 0    | 20     | 50      | 2000      |
    Then the core granted "a" at once

  Scenario: The room is given up when no burst comes
    Given the core has served a burst of 30 checks
    When 600000 ms pass for the core
    And the core is flooded with long work of tier 2
    Then the core runs 16 requests of tier 2
