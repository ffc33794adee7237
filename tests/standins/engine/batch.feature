Feature: Continuous batching of the engine's stand-in
  Prompts are prefilled one at a time in arrival order and decoded together.
  A request is written name:prompt bytes:answer tokens.

  Background:
    Given a stand-in batch of 2 slots and 2048 KV tokens, 1000 prefill and 100 decode tokens/s

  Scenario: One request is prefilled, then decoded at its own speed
    When stand-in requests "a:1024:3" are submitted at 0 ms
    Then the stand-in tokens are "a@256 a@266 a@276"

  Scenario: Decoding slows down as the batch grows
    When stand-in requests "a:400:6 b:40:3" are submitted at 0 ms
    Then the stand-in tokens are "a@100 a@110 b@110 a@120 b@120 a@130.3 b@130.3 a@140.3 a@150.3"

  Scenario: A third request waits for a slot
    When stand-in requests "a:40:2 b:40:2 c:40:1" are submitted at 0 ms
    Then the stand-in tokens come from "a a b b c"

  Scenario: A request that does not fit holds back those behind it
    When stand-in requests "a:6000:4 b:6000:1 c:40:1" are submitted at 0 ms
    Then the stand-in tokens come from "a a a a b c"

  Scenario: A cached prefix is not prefilled again
    Given stand-in requests "a:4096:1" were run to the end
    When stand-in requests "a:4096:1" are submitted at 5000 ms
    Then the stand-in tokens are "a@5000"
    And the stand-in batch has prefilled 1024 tokens

  Scenario: A cancelled request makes room for the next
    When stand-in requests "a:40:9 b:40:9 c:40:1" are submitted at 0 ms
    And stand-in request "a" is cancelled at 5 ms
    Then the stand-in tokens come from "b b c b b b b b b b"
    And the stand-in batch has prefilled 25 tokens

  Scenario: A pause moves all that was due
    When stand-in requests "a:1024:2" are submitted at 0 ms
    And the stand-in batch is paused for 1000 ms
    Then the stand-in tokens are "a@1256 a@1266"

  Scenario: A slowdown stretches what is in progress and what follows
    When stand-in requests "a:1024:2" are submitted at 0 ms
    And the stand-in batch takes 10 times as long from 56 ms on
    Then the stand-in tokens are "a@2056 a@2156"

  Scenario: Whatever comes and goes, every request ends and no memory is left held
    Then any mix of stand-in requests, cancels, pauses and slowdowns adds up
