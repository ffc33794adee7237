@processes
Feature: The platform over HTTP, in a process of its own
  What is proved in memory holds over the wire, with its faults.

  Background:
    Given a platform process

  Scenario: Rows and objects keep their promises over the wire
    When wire rows "t/b=1@0 t/a=2@0" are committed as a whole
    And wire rows "t/a=3@1 t/c=4@9" are committed as a whole
    Then the wire rows under "t/" are "t/a=2 t/b=1"
    When wire rows "t/a=3@1 t/c=4@9" are committed one by one
    Then the wire rows under "t/" are "t/a=3 t/b=1"
    And a wire object with the name "answers/a b%/c" can be kept, read and deleted

  Scenario Outline: A keyed claim survives the platform's faults
    Given the platform process is told <fault>
    When wire VM "a" claims "k" within <timeout_ms> ms
    Then wire VM "a" is answered "<answer>"
    When the platform process is told {"outage": false, "refuse_writes": false, "delay_ms": 0}
    Then the wire claim is finally "<state>"

    Examples:
      | fault                   | timeout_ms | answer  | state    |
      | {"lose_replies": 1}     | 5000       | held    | claimed  |
      | {"lose_replies": 2}     | 5000       | held    | claimed  |
      | {"outage": true}        | 5000       | not_run | absent   |
      | {"refuse_writes": true} | 5000       | not_run | absent   |
      | {"delay_ms": 600}       | 100        | not_run | released |

  Scenario: A claim is not held twice when replies are lost to both claimers
    Given the platform process is told {"lose_replies": 2}
    When wire VMs "a" and "b" claim "k" at once
    Then exactly one wire VM holds it

  Scenario: More claims than the rate limit allows wait and are held
    Given the platform process allows 20 writes a second
    When wire VM "a" claims 300 keys, 10 at a time
    Then all wire claims are held
