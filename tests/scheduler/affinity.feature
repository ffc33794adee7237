Feature: Cached prefixes
  A prompt goes where its prefix is cached, by our own record, corrected by the
  engines' late and gappy word.

  Background:
    Given a core with the endpoints
      | endpoint | slots | kv_tokens | prefill_tokens_per_s | decode_tokens_per_s |
      | fast     | 4     | 100000    | 8000                 | 80                  |
      | slow     | 4     | 100000    | 4000                 | 60                  |

  Scenario: A second prompt with the same prefix follows the first
    Given the core has sent a prompt of 40 blocks to "slow"
    When the core is given a prompt with the same 40 blocks
    Then the core granted "again" on "slow"

  Scenario: A prompt without the prefix does not
    Given the core has sent a prompt of 40 blocks to "slow"
    When the core is given a prompt with other 40 blocks
    Then the core granted "again" on "fast"

  Scenario: Word of eviction corrects the record
    Given the core has sent a prompt of 40 blocks to "slow"
    When 3000 ms pass for the core
    And the core hears that "slow" has evicted the 40 blocks
    And the core is given a prompt with the same 40 blocks
    Then the core granted "again" on "fast"

  Scenario: Lost words make the record less certain
    Given the core has sent a prompt of 40 blocks to "slow"
    When the core hears words of "slow" with 20 gaps
    And the core is given a prompt with the same 40 blocks
    Then the core granted "again" on "fast"
