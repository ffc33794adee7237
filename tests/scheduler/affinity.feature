Feature: Prefix affinity
  A prompt goes to the endpoint that caches its prefix, by an index of sent prompts
  that late and incomplete cache events of the engines correct.

  Background:
    Given a core with the endpoints
      | endpoint | slots | kv_tokens | prefill_tokens_per_s | decode_tokens_per_s |
      | fast     | 4     | 100000    | 8000                 | 80                  |
      | slow     | 4     | 100000    | 4000                 | 60                  |

  Scenario: A prompt goes to the endpoint that has its prefix
    Given the core has sent a prompt of 40 blocks to "slow"
    When the core receives a prompt with the same 40 blocks
    Then the core granted "again" on "slow"

  Scenario: A prompt with another prefix goes to the fastest endpoint
    Given the core has sent a prompt of 40 blocks to "slow"
    When the core receives a prompt with other 40 blocks
    Then the core granted "again" on "fast"

  Scenario: Eviction events correct the index
    Given the core has sent a prompt of 40 blocks to "slow"
    When 3000 ms pass for the core
    And the core receives eviction events of "slow" for the 40 blocks
    And the core receives a prompt with the same 40 blocks
    Then the core granted "again" on "fast"

  Scenario: Lost cache events lower the confidence in the index
    Given the core has sent a prompt of 40 blocks to "slow"
    When the core receives cache events of "slow" with 20 gaps
    And the core receives a prompt with the same 40 blocks
    Then the core granted "again" on "fast"
