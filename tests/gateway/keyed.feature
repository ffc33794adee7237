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

  Scenario: The holder has not yet heard that its claim is written
    Given the reply to gateway "a"'s claim is held back
    When gateways "a" and "b" are called with key "k1" and the reply comes late
    Then both callers have the same answer
    And the engine ran 1 request

  Scenario: Two who wait for a holder that gives up are served by one run
    Given the scheduler of gateway "a" lets requests wait
    When gateway "a" is called with key "k1" and gateway "b" repeats it twice
    And the scheduler of gateway "a" refuses what waits
    Then both repeats have the same answer
    And the engine ran 1 request

  Scenario: The object store is away when the answer is whole
    Given the shared object store is down
    When gateway "a" is called with key "k1"
    And the shared object store is back
    And gateway "b" is called with key "k1" after the answer was kept
    Then both callers have the same answer
    And the engine ran 1 request

  Scenario: A key of a job is not said to have not run
    Given key "k1" is claimed for a job
    When gateway "b" is called with key "k1"
    Then the last caller hears "unknown" because of "claim_held"
    And the engine ran 0 requests

  Scenario: An answer that was not kept is not waited for
    Given key "k1" has ended without a kept answer
    When gateway "b" is called with key "k1"
    Then the last caller hears "unknown" because of "claim_held"
    And the last caller was told that the answer was not kept

  Scenario: A repeat whose way to the running answer breaks waits for the kept one
    Given the engine holds its answers back
    And the engine breaks off whoever resumes before the first byte
    When gateways "a" and "b" are called with key "k1" at once
    And the engine has broken a resumed answer off and lets its answers go
    Then both callers have the same answer
    And the engine ran 1 request
