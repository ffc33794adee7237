Feature: Health of endpoints
  An endpoint that has become slow gets no grants within two seconds, until a
  probe shows that it has recovered.

  Background:
    Given a core with the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | fast     | 4     | 8000                 | 80                  |
      | slow     | 4     | 6000                 | 60                  |

  Scenario: An endpoint with ten times longer token gaps gets no grants
    Given the core has measured the usual speed of "fast"
    When the core sees "fast" stream 10 times slower for 1500 ms
    And the core receives the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    Then the core granted "a" on "slow"

  Scenario: A silent endpoint gets no grants
    Given the core has measured the usual speed of "fast"
    When 1500 ms pass for the core
    And the core receives the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    Then the core granted "a" on "slow"

  # Guards against an endpoint that stays unused because its usual speed was unknown.
  Scenario: An endpoint silent before its speed was measured gets grants again
    When the core receives the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    And 1500 ms pass for the core
    And the core's request "a" ends
    And the core receives the requests
      | id | tier | decode |
      | b  | 0    | 10     |
    Then the core granted "b" on "fast"

  Scenario: A straggler with its usual speed again gets grants again
    Given the core has measured the usual speed of "fast"
    When the core sees "fast" stream 10 times slower for 1500 ms
    And the core sees "fast" stream 1 times slower for 1500 ms
    And the core receives the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    Then the core granted "a" on "fast"

  Scenario: An endpoint that refused a call gets no grant for a while
    When the core receives the requests
      | id | tier | decode |
      | a  | 0    | 10     |
    And an endpoint refuses the core's request "a"
    And the core receives the requests
      | id | tier | decode |
      | b  | 0    | 10     |
    Then the core granted "b" on "slow"

  Scenario: A straggler is probed with a request of the lowest waiting tier
    Given the core has measured the usual speed of "fast"
    When the core sees "fast" stream 10 times slower for 1500 ms
    And the core receives 4 requests of tier 0
    And the core receives the requests
      | id   | tier | decode | budget_ms |
      | high | 0    | 10     | 60000     |
      | low  | 2    | 10     | 60000     |
    And the core's straggler stays slow for 1000 ms
    Then the core granted "low" on "fast"

  Scenario: A straggler is first probed with a request that only a short answer saves
    Given the core has measured the usual speed of "fast"
    And the core has served 4 complete answers of 10 tokens to "modest"
    And the core has served 6 complete answers of 100 tokens to "modest"
    When the core sees "fast" stream 10 times slower for 1500 ms
    And the core receives 4 requests of tier 0
    And 100 ms pass for the core
    And the core receives the requests
      | id     | tier | decode | budget_ms | organisation |
      | urgent | 0    | 100    | 2200      | modest       |
      | low    | 2    | 10     | 60000     | modest       |
    And the core's straggler stays slow for 400 ms
    Then the core granted "urgent" on "fast"
    And the core has not decided "low"
