Feature: Calls with an idempotency key
  Whoever repeats a key, on whichever VM, gets the first answer or a truthful
  refusal, and the endpoint gets one dispatch.

  Background:
    Given two gateways that share a table and an object store

  Scenario: A repeated key is answered from the kept answer
    When gateway "a" is called with key "k1"
    And gateway "b" is called with key "k1" after the answer was kept
    Then both callers have the same answer
    And the engine ran 1 request

  Scenario: A key that is repeated while it runs runs once
    Given the engine holds its answers back
    When gateways "a" and "b" are called with key "k1" at once
    And the engine lets its answers go
    Then both callers have the same answer
    And the engine ran 1 request

  Scenario: An unstreamed call's key that is repeated while it runs runs once
    Given the engine holds its answers back
    And the keyed callers want no stream
    When gateways "a" and "b" are called with key "k1" at once
    And the engine lets its answers go
    Then both callers have the same answer
    And the engine ran 1 request

  Scenario: Ten callers at one gateway with one key run it once
    When gateway "a" is called ten times at once with key "k1"
    Then all ten callers have the same answer
    And the engine ran 1 request

  Scenario: One organisation's key is not another's
    When gateway "a" is called with key "k1"
    And gateway "b" is called with key "k1" by another organisation
    Then the engine ran 2 requests

  Scenario: A key used for another request is refused as not run
    When gateway "a" is called with key "k1"
    And gateway "b" is called with key "k1" for another prompt
    Then the last caller hears "not_run" because of "key_reused"
    And the engine ran 1 request

  Scenario: The holder is gone after a dispatch may have happened
    Given the engine holds its answers back
    When gateway "a" is called with key "k1" and its VM dies
    And gateway "b" is called with key "k1"
    Then the last caller hears "unknown" because of "holder_gone"
    And the engine ran 1 request

  Scenario: A key whose request was refused before dispatch may be used again
    Given the scheduler of gateway "a" refuses everything
    When gateway "a" is called with key "k1"
    And gateway "b" is called with key "k1" after the claim was released
    Then the last caller has an answer
    And the engine ran 1 request

  Scenario: The table is down
    Given the shared table is down
    When gateway "a" is called with key "k1"
    Then the last caller hears "not_run" because of "platform_unavailable"
    And the engine ran 0 requests

  Scenario: A caller who leaves does not end a keyed request that runs
    Given the engine holds its answers back
    When gateway "a" is called with key "k1" and the caller leaves
    And the engine lets its answers go
    And gateway "b" is called with key "k1" after the answer was kept
    Then the last caller has an answer
    And the engine ran 1 request
