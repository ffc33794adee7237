Feature: When organisations' use is recorded for the next scheduler
  What may pass unrecorded is bounded; what adds little waits for its turn.

  Scenario Outline: A record is due by what has passed since the last one
    Given a scheduler that let <share> of an allowance pass since its last record
    When the record's turn comes, <turn>
    Then it is <recorded>

    Examples:
      | share | turn                   | recorded     |
      | 0.01  | as one of many         | not recorded |
      | 0.01  | as the one in any case | recorded     |
      | 0.24  | as one of many         | not recorded |
      | 0.26  | as one of many         | recorded     |

  Scenario: A scheduler that leaves tells what passed, also what is not on record
    Given a scheduler that let 0.01 of an allowance pass since its last record
    When it leaves the role
    Then the others are told of its 100 tokens

  Scenario: What a scheduler has told goes before its older record
    Given a new scheduler and a record of 100 tokens of "vm-1" and 40 of "vm-2"
    When "vm-1" tells that 300 tokens passed there
    Then the new scheduler counts 340 tokens

  # A scheduler of another service is told all the time, until others schedule that; the
  # last that it heard may be older than the record.
  Scenario: A record that is younger than what was told goes before it
    Given a new scheduler and a record of 100 tokens of "vm-1" and 40 of "vm-2"
    When "vm-1" tells that 30 tokens passed there 4000 ms ago
    Then the new scheduler counts 140 tokens

  Scenario: What was told counts also where the store cannot be read
    Given a new scheduler and a store that fails
    When "vm-1" tells that 300 tokens passed there
    Then the new scheduler counts 300 tokens

  Scenario: A record that the store did not take is due again at once
    Given a scheduler that let 0.30 of an allowance pass since its last record
    And a store that fails once
    When the record's turn comes, as one of many
    And the record's turn comes, as one of many
    Then it is recorded

  Scenario: A scheduler that let nothing pass tells nobody
    Given a scheduler that let 0.00 of an allowance pass since its last record
    And it let nothing pass
    When it leaves the role
    Then nobody is told

  Scenario: A role that is left at once is not read for
    Given a new scheduler that leaves its role within the time until it reads
    Then the store was not read
