Feature: Admission control
  A refusal is decided at once, has the outcome "not run", and never affects a
  higher tier while a lower one waits in the queue.

  Background:
    Given a core with a queue of 3 and the endpoints
      | endpoint | slots | prefill_tokens_per_s | decode_tokens_per_s |
      | only     | 2     | 1000                 | 50                  |

  Scenario: A request that no endpoint can finish in time is refused on arrival
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 5000    | 10     | 4000      |
    Then the core refused "a" as "deadline_unreachable"

  Scenario: A waiting request is refused once it cannot meet its deadline
    Given the core's slots are all taken by tier 1
    When the core receives the requests
      | id | tier | prefill | decode | budget_ms |
      | a  | 0    | 1000    | 50     | 5000      |
    And 2000 ms pass for the core
    Then the core has not decided "a"
    When 1500 ms pass for the core
    Then the core refused "a" as "deadline_unreachable"

  Scenario: A higher tier displaces the newest request of the lowest tier
    Given the core's slots are all taken by tier 1
    When the core receives the requests
      | id   | tier | decode |
      | low1 | 2    | 10     |
      | low2 | 2    | 10     |
      | mid  | 1    | 10     |
      | high | 0    | 10     |
    Then the core refused "low2" as "displaced"
    And the core's refusal of "low2" gives a retry time
    And the core has not decided "high"
    And the core has not decided "low1"

  Scenario: The lowest tier is refused when higher ones fill the queue
    Given the core's slots are all taken by tier 1
    When the core receives the requests
      | id  | tier | decode |
      | h1  | 0    | 10     |
      | h2  | 0    | 10     |
      | h3  | 0    | 10     |
      | low | 1    | 10     |
    Then the core refused "low" as "queue_full"

  Scenario: An organisation within its share displaces one that is over it
    Given the core's slots are all taken by tier 1
    When the core receives the requests
      | id | tier | organisation | decode |
      | f1 | 1    | flooding     | 10     |
      | f2 | 1    | flooding     | 10     |
      | f3 | 1    | flooding     | 10     |
      | a  | 1    | modest       | 10     |
    Then the core refused "f3" as "displaced"
    And the core has not decided "a"

  Scenario: The retry time grows with the queue
    Given the core's slots are all taken by tier 1
    When the core receives the requests
      | id | tier | decode |
      | q1 | 1    | 200    |
      | q2 | 1    | 200    |
      | q3 | 1    | 200    |
      | q4 | 1    | 200    |
    Then the core's refusal of "q4" gives a retry time of 5000 to 20000 ms

  Scenario: A request is refused when the only endpoint is leaving
    When the core marks "only" as leaving
    And the core receives the requests
      | id | tier |
      | a  | 0    |
    Then the core refused "a" as "no_endpoint"
