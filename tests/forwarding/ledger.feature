Feature: When organisations' use is recorded for the next scheduler
  What may pass unrecorded is bounded; what adds little waits for its turn.

  Scenario Outline: A record is due by what has passed since the last one
    Given a scheduler that let <share> of a limit pass since its last record
    When the record's turn comes, <turn>
    Then it is <recorded>

    Examples:
      | share | turn                   | recorded     |
      | 0.01  | as one of many         | not recorded |
      | 0.01  | as the one in any case | recorded     |
      | 0.10  | as one of many         | recorded     |

  Scenario: A record that the store did not take is due again at once
    Given a scheduler that let 0.10 of a limit pass since its last record
    And a store that fails once
    When the record's turn comes, as one of many
    And the record's turn comes, as one of many
    Then it is recorded
