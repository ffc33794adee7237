Feature: The clairvoyant bound
  No policy can exceed it, and it is no larger than it has to be.

  Background:
    Given a bench engine with 1 slot, 1000 prompt tokens/s and 10 answer tokens/s

  Scenario: Everything fits
    Given 3 bench requests of 500 prompt and 2 answer tokens at 0 s within 10000 ms
    Then the bench bound is between 3 and 3

  Scenario: Only part of it fits
    Given 20 bench requests of 1000 prompt and 2 answer tokens at 0 s within 10000 ms
    Then the bench bound is between 10 and 10

  Scenario: Short requests go first
    Given 5 bench requests of 2000 prompt and 2 answer tokens at 0 s within 10000 ms
    And 10 bench requests of 500 prompt and 2 answer tokens at 0 s within 10000 ms
    Then the bench bound is between 12.4 and 12.6

  Scenario: Later windows do not help earlier ones
    Given 10 bench requests of 1000 prompt and 2 answer tokens at 0 s within 4000 ms
    And 1 bench requests of 1000 prompt and 2 answer tokens at 20 s within 4000 ms
    Then the bench bound is between 5 and 5

  Scenario: Nobody can answer a request that takes longer than its deadline
    Given 1 bench requests of 9000 prompt and 2 answer tokens at 0 s within 4000 ms
    Then the bench bound is between 0 and 0

  Scenario: A slowdown known in advance lowers the bound
    Given 20 bench requests of 1000 prompt and 2 answer tokens at 0 s within 10000 ms
    And the bench engine is 10 times slower from 5 s on
    Then the bench bound is between 5.4 and 5.6
