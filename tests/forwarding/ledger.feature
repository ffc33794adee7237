Feature: Usage records for the next scheduler
  The usage that may stay unrecorded is bounded; small amounts wait for the interval.

  Scenario Outline: A record is due by the usage admitted since the last one
    Given a scheduler that admitted <share> of an allowance since its last record
    When records are saved, <condition>
    Then its usage is <recorded>

    Examples:
      | share | condition             | recorded     |
      | 0.01  | only those due        | not recorded |
      | 0.01  | whether due or not    | recorded     |
      | 0.24  | only those due        | not recorded |
      | 0.26  | only those due        | recorded     |

  Scenario: A scheduler that gives up its role reports usage that is not recorded
    Given a scheduler that admitted 0.01 of an allowance since its last record
    When it gives up the role
    Then its 100 tokens are reported to the other VMs

  Scenario: A report replaces an older record of the same scheduler
    Given a new scheduler and a record of 100 tokens of "vm-1" and 40 of "vm-2"
    When "vm-1" reports 300 tokens
    Then the new scheduler counts 340 tokens

  # Schedulers of other services get reports only until another VM takes over the role,
  # so the last report that they got may be older than the record.
  Scenario: A record replaces an older report
    Given a new scheduler and a record of 100 tokens of "vm-1" and 40 of "vm-2"
    When "vm-1" reports 30 tokens of 4000 ms ago
    Then the new scheduler counts 140 tokens

  Scenario: A report counts even if the store cannot be read
    Given a new scheduler and a store that fails
    When "vm-1" reports 300 tokens
    Then the new scheduler counts 300 tokens

  Scenario: A record that the store failed to save is due again at once
    Given a scheduler that admitted 0.30 of an allowance since its last record
    And a store that fails once
    When records are saved, only those due
    And records are saved, only those due
    Then its usage is recorded

  Scenario: A scheduler that admitted nothing sends no report
    Given a scheduler that admitted 0.00 of an allowance since its last record
    And it admitted nothing before
    When it gives up the role
    Then nothing is reported to the other VMs

  Scenario: The record is not read for a role that is given up at once
    Given a new scheduler that gives up its role before it reads the record
    Then the store was not read
