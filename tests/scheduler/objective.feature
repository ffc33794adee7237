Feature: The objective policy
  Requests are queued by rank and by the time at which their answer is due. Each goes to
  the endpoint where its answer begins first. Requests that could only be answered late
  are refused early enough for their callers to try elsewhere.

  Scenario: The more urgent rank is granted first
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is in use
    When the objective core receives the requests
      | id   | rank | objective_ms |
      | low  | 2    | 9000         |
      | high | 1    | 9000         |
    And one running request on "one" finishes
    Then "high" is granted and "low" waits

  Scenario: Within a rank the request that is due first is granted first
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is in use
    When the objective core receives the requests
      | id    | rank | objective_ms |
      | later | 1    | 9000         |
      | soon  | 1    | 8000         |
    And one running request on "one" finishes
    Then "soon" is granted and "later" waits

  Scenario: A request that would wait past its objective is refused on arrival
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is in use
    When the objective core receives the requests
      | id   | rank | objective_ms |
      | late | 1    | 200          |
    Then "late" is refused as "deadline_unreachable" with a retry delay

  Scenario: A long answer is not placed where it would end too late
    Given an objective core with the endpoints
      | endpoint | slots |
      | fast     | 4     |
      | slow     | 4     |
    And "slow" has answered four times slower than "fast"
    When "fast" gets one more prompt to read and a long request arrives
    Then the long request is granted on "fast"

  Scenario: A second prompt does not stall streams that a first prompt already slows
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    And a stream runs on "one" that may pause for 200 ms
    When prompts of 6000 tokens arrive as "first" and "second"
    Then "first" is granted and "second" waits
    When "first" begins to answer
    Then "second" waits
    When 250 ms pass for the objective core
    Then "second" is granted on "one"

  Scenario: A request that its endpoint refused is charged again when resubmitted
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 40    |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" is refused by its endpoint and submitted again as new
    Then the core lets 400 tokens of "o" pass

  Scenario: A withdrawn retry is not refunded, as the first attempt was charged
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" fails and its retry is withdrawn while it waits
    Then "o" has used 600 tokens

  Scenario: A request whose gateway disconnects and reconnects is charged once
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" waits, is withdrawn and is submitted again as admitted
    Then exactly 400 tokens of "o" may still pass
    And "o" has used 0 tokens

  # When a gateway switches schedulers, the old one refunds its waiting requests. The new
  # one took them as already charged, so that nobody charged them.
  Scenario: A request that waited under another scheduler is charged when granted
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 40    |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" arrives that another scheduler has admitted
    Then "o" has used 600 tokens
    And exactly 400 tokens of "o" may still pass

  Scenario: A request over the limit is refused, even if admitted elsewhere before
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 40    |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" arrives that another scheduler has admitted
    And one of 500 tokens arrives after it that another scheduler has admitted
    Then the core refuses it for its organisation's limit

  Scenario: A refund leaves the sliding window together with its charge
    Given a window of 1000 tokens in 8000 ms
    When 900 tokens pass at 0 ms
    And 900 tokens charged at 0 ms are refunded at 3000 ms
    And 1000 tokens pass at 4000 ms
    Then 100 tokens must wait 3500 ms at 8500 ms

  Scenario: The history of read prompts is bounded
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    When 500 requests of 100 prompt tokens are served
    Then at most 64 read prompts are kept

  Scenario: One request without an answer does not suspend an endpoint
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
      | two      | 4     |
    When 1 request on "one" gets no answer for 2000 ms
    Then "one" is not suspended

  Scenario: Several requests without an answer suspend an endpoint
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
      | two      | 4     |
    When 2 requests on "one" get no answer for 2000 ms
    Then "one" is suspended

  Scenario: Failing answers do not suspend an endpoint
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    When 5 requests on "one" fail after their first byte
    Then "one" is not suspended

  Scenario: Requests are still granted if every endpoint is suspended
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    And "one" has broken 3 connections in a row
    When the objective core receives the requests
      | id  | rank | objective_ms |
      | new | 1    | 500          |
    Then "new" is granted on "one"

  Scenario: A request past its objective waits behind the others, for a limited time
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is in use
    When the objective core receives the requests
      | id  | rank | objective_ms | budget_ms |
      | old | 1    | 9000         | 10000     |
    And 9100 ms pass for the objective core
    Then "old" waits
    When 300 ms pass for the objective core
    Then "old" is refused as "deadline_passed" with a retry delay

  Scenario: A request is refused while its caller is still connected
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is in use
    When the objective core receives the requests
      | id   | rank | objective_ms | budget_ms | patience_ms |
      | left | 1    | 0            | 12000     | 2400        |
      | kept | 1    | 0            | 12000     | 0           |
    And 1600 ms pass for the objective core
    Then "left" waits
    When 100 ms pass for the objective core
    Then "left" is refused as "deadline_passed" with a retry delay
    And "kept" waits

  Scenario: A request that is registered again keeps only its remaining patience
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And a handle with 12000 ms of budget and 2400 ms of patience
    When it is registered again with 11000 ms of budget
    Then its patience is 1400 ms

  Scenario Outline: Of endpoints that answer about as soon the local one is chosen
    Given an objective core with the endpoints
      | endpoint | slots | data_centre |
      | east     | 4     | e           |
      | west     | 4     | w           |
    When a request arrives in data centre "<place>"
    Then it is granted on "<endpoint>"

    Examples:
      | place | endpoint |
      | e     | east     |
      | w     | west     |

  Scenario: A remote endpoint is chosen if it answers much sooner
    Given an objective core with the endpoints
      | endpoint | slots | data_centre |
      | east     | 4     | e           |
      | west     | 4     | w           |
    And a prompt of 20000 tokens is being read on "east"
    When a request arrives in data centre "e"
    Then it is granted on "west"

  Scenario Outline: The number of tokens per event is learnt
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    And <count> answers of 160 expected tokens that had <events> events
    Then an answer of 160 tokens is expected to have <least> to <most> events

    Examples:
      | count | events | least | most |
      | 200   | 10     | 9     | 11   |
      | 200   | 80     | 72    | 88   |

  Scenario: A restarted endpoint has no requests or statistics from before
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 2     |
    And "one" has broken 3 connections in a row
    And every slot is in use
    When "one" restarts under the same id
    And the objective core receives the requests
      | id     | rank | objective_ms |
      | first  | 1    | 500          |
      | second | 1    | 500          |
    Then "first" is granted on "one"
    And "second" is granted on "one"
    And "one" has the statistics of a new endpoint
    When an event arrives of a request from before the restart of "one"
    Then 2 requests run on "one"
