Feature: The engine's stand-in over HTTP
  Answers carry the tag of their prompt, so that each can be checked.

  Background:
    Given a stand-in engine

  Scenario: A streamed answer is whole
    When a stand-in answer of 5 tokens is streamed as "r1"
    Then the stand-in answer is whole
    And the stand-in run "r1" is "finished" with 5 tokens

  Scenario: An answer that is not streamed is whole
    When a stand-in answer of 5 tokens is read at once as "r1"
    Then the stand-in answer is whole

  Scenario: A stream can be read again from any chunk
    Given a stand-in answer of 5 tokens was streamed as "r1"
    When the stand-in stream "r1" is resumed from chunk 3
    Then the stand-in answer has the tokens "3 4"

  Scenario: A running stream can be resumed by another reader
    When a stand-in answer of 40 tokens is begun as "r1" and its reader goes
    And the stand-in stream "r1" is resumed from chunk 0
    Then the stand-in answer is whole

  Scenario: A cancelled stream ends and stops using the engine
    When a stand-in answer of 9000 tokens is begun as "r1" and its reader goes
    And the stand-in stream "r1" is cancelled
    Then the stand-in run "r1" is "cancelled" before its end

  Scenario: The same id again is a second run
    Given a stand-in answer of 2 tokens was streamed as "r1"
    When a stand-in answer of 2 tokens is streamed as "r1"
    Then the stand-in engine has run "r1" 2 times

  Scenario: A frozen engine runs nothing until it goes on
    Given the stand-in engine's control sets {"frozen": true}
    When a stand-in answer of 5 tokens is requested as "r1" without waiting
    Then the stand-in engine has run "r1" 0 times
    When the stand-in engine's control sets {"frozen": false}
    Then the stand-in answer arrives whole

  Scenario: An engine dies in the middle of an answer and comes back cold
    Given the stand-in engine's control sets {"die_after_tokens": 3}
    When a stand-in answer of 5 tokens is streamed as "r1"
    Then the stand-in answer broke off
    And the stand-in run "r1" is "lost" before its end
    And the stand-in engine refuses connections
    When the stand-in engine's control sets {"die": false}
    And a stand-in answer of 5 tokens is streamed as "r2"
    Then the stand-in answer is whole

  Scenario: A refused request is not run
    Given the stand-in engine's control sets {"refuse": true}
    When a stand-in answer of 5 tokens is streamed as "r1"
    Then the stand-in status is 503
    And the stand-in engine has run "r1" 0 times

  Scenario: A prompt that can never fit is refused
    When a stand-in answer of 70000 tokens is streamed as "r1"
    Then the stand-in status is 400

  Scenario: Leaving is told in the load report
    When the stand-in engine's control sets {"leaving": true}
    Then the stand-in load report says "leaving"

  Scenario: Cache events tell which prefix blocks were stored
    Given the stand-in engine's control sets {"event_lag_ms": 0, "event_loss": 0}
    When a stand-in answer of 2 tokens to a prompt of 2 blocks is streamed as "r1"
    Then the stand-in cache events name the blocks of the prompt

  Scenario: An engine that ignores fencing carries out every order
    Given the stand-in order "a" with fencing 5 was taken
    When the stand-in order "b" with fencing 4 is given
    Then the stand-in status is 200

  Scenario: An engine that honours fencing refuses an old number
    Given a stand-in engine that honours fencing
    And the stand-in order "a" with fencing 5 was taken
    When the stand-in order "b" with fencing 4 is given
    Then the stand-in status is 409

  Scenario: An ordered model is loaded while the weight store allows it
    Given a stand-in engine that pulls 1000 of at most 1 weight bytes a second
    When the stand-in models "m1 m2" are ordered one after the other
    Then the stand-in engine has loaded "m1" and failed "m2"

  @processes
  Scenario: One process hosts several engines, and one of them dies alone
    Given a stand-in process with engines "e1 e2"
    When the stand-in engine "e1" of the process dies
    Then the stand-in engine "e2" of the process still answers
