Feature: The objective policy
  Requests wait by rank and by when their answer is due, and go where it begins
  soonest; what could only be late is refused while that costs the caller nothing.

  Scenario: The more urgent rank goes first
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is taken
    When the objective core is given
      | id   | rank | objective_ms |
      | low  | 2    | 9000         |
      | high | 1    | 9000         |
    And one running request ends on "one"
    Then "high" is granted and "low" waits

  Scenario: Among equals the one that is due first goes first
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is taken
    When the objective core is given
      | id    | rank | objective_ms |
      | later | 1    | 9000         |
      | soon  | 1    | 8000         |
    And one running request ends on "one"
    Then "soon" is granted and "later" waits

  Scenario: What would wait past its objective is refused on arrival
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is taken
    When the objective core is given
      | id   | rank | objective_ms |
      | late | 1    | 200          |
    Then "late" is refused as "deadline_unreachable" with a time to come back

  Scenario: A long answer does not go where it would end too late
    Given an objective core with the endpoints
      | endpoint | slots |
      | fast     | 4     |
      | slow     | 4     |
    And "slow" has answered four times slower than "fast"
    When "fast" has one more prompt to read and a long answer comes
    Then the long answer is granted on "fast"

  Scenario: A second prompt does not hold up the streams that the first one slows
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    And a stream runs on "one" that may pause for 200 ms
    When prompts of 6000 tokens come as "first" and "second"
    Then "first" is granted and "second" waits
    When "first" begins to answer
    Then "second" waits
    When 250 ms pass for the objective core
    Then "second" is granted on "one"

  Scenario: What an endpoint refused as not run is charged again when it is tried again
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 40    |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" is refused by its endpoint and tried again as new
    Then the core lets 400 tokens of "o" pass

  Scenario: A repeat that was charged before gives nothing back when it is withdrawn
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" breaks and its repeat is withdrawn while it waits
    Then "o" has used 600 tokens

  Scenario: A request whose gateway was lost and came back is charged once
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" waits, is withdrawn and comes back as admitted
    Then "o" has room for 400 tokens and no more
    And "o" has used 0 tokens

  # Seen: a scheduler whose gateway turns to another one gives back what waits there, and
  # the other let it pass as counted already: nobody counted it.
  Scenario: A request that waited under another scheduler counts where it gets its slot
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 40    |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" comes that another scheduler has admitted
    Then "o" has used 600 tokens
    And "o" has room for 400 tokens and no more

  Scenario: What is known to be too much is refused, also where it was admitted before
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 40    |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" comes that another scheduler has admitted
    And one of 500 tokens comes after it that another scheduler has admitted
    Then the core refuses it for its organisation's limit

  Scenario: What is given back leaves the span with the charge that it undoes
    Given a window of 1000 tokens in 8000 ms
    When 900 tokens pass at 0 ms
    And 900 tokens of 0 ms are given back at 3000 ms
    And 1000 tokens pass at 4000 ms
    Then 100 tokens must wait 3500 ms at 8500 ms

  Scenario: What is remembered of read prompts is bounded
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    When 500 requests of 100 prompt tokens are served
    Then at most 64 read prompts are remembered

  Scenario: One silent request does not make an endpoint suspect
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
      | two      | 4     |
    When 1 request on "one" hears nothing for 2000 ms
    Then "one" is not suspended

  Scenario: Several silent requests do
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
      | two      | 4     |
    When 2 requests on "one" hear nothing for 2000 ms
    Then "one" is suspended

  Scenario: Failing answers do not make an endpoint suspect
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    When 5 requests on "one" fail after their first byte
    Then "one" is not suspended

  Scenario: Where every endpoint is suspect the work still goes on
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    And "one" has broken 3 connections in a row
    When the objective core is given
      | id  | rank | objective_ms |
      | new | 1    | 500          |
    Then "new" is granted on "one"

  Scenario: A request past its objective waits behind the others, and not for long
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is taken
    When the objective core is given
      | id  | rank | objective_ms | budget_ms |
      | old | 1    | 9000         | 10000     |
    And 9100 ms pass for the objective core
    Then "old" waits
    When 300 ms pass for the objective core
    Then "old" is refused as "deadline_passed" with a time to come back

  Scenario: A request is given up while its caller is still there
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And every slot is taken
    When the objective core is given
      | id   | rank | objective_ms | budget_ms | patience_ms |
      | left | 1    | 0            | 12000     | 2400        |
      | kept | 1    | 0            | 12000     | 0           |
    And 1600 ms pass for the objective core
    Then "left" waits
    When 100 ms pass for the objective core
    Then "left" is refused as "deadline_passed" with a time to come back
    And "kept" waits

  Scenario: What is registered again has the patience that is left
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 1     |
    And a handle with 12000 ms of budget and 2400 ms of patience
    When it is registered again with 11000 ms of budget
    Then its patience is 1400 ms

  Scenario Outline: Among endpoints that answer about as soon the near one is taken
    Given an objective core with the endpoints
      | endpoint | slots | data_centre |
      | east     | 4     | e           |
      | west     | 4     | w           |
    When a request comes in data centre "<place>"
    Then it is granted on "<endpoint>"

    Examples:
      | place | endpoint |
      | e     | east     |
      | w     | west     |

  Scenario: A far endpoint is taken where it answers much sooner
    Given an objective core with the endpoints
      | endpoint | slots | data_centre |
      | east     | 4     | e           |
      | west     | 4     | w           |
    And a prompt of 20000 tokens is being read on "east"
    When a request comes in data centre "e"
    Then it is granted on "west"

  Scenario Outline: The number of events that a token stands for is learnt
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 4     |
    And <count> answers of 160 expected tokens that had <events> events
    Then an answer of 160 tokens is expected to have <least> to <most> events

    Examples:
      | count | events | least | most |
      | 200   | 10     | 9     | 11   |
      | 200   | 80     | 72    | 88   |

  Scenario: An endpoint that was started again holds and knows nothing of before
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 2     |
    And "one" has broken 3 connections in a row
    And every slot is taken
    When "one" starts again under its id
    And the objective core is given
      | id     | rank | objective_ms |
      | first  | 1    | 500          |
      | second | 1    | 500          |
    Then "first" is granted on "one"
    And "second" is granted on "one"
    And "one" is taken to be as fast and sound as an unknown one
    When word comes of a request that the earlier start of "one" ran
    Then 2 requests run on "one"
