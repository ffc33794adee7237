Feature: What a repeated send says of itself to the scheduler
  A request is charged to its organisation's limit once for each time that it may run.

  Scenario Outline: A repeat is charged like a new request unless the first may have run
    Given a request whose send <ended>
    When it asks for a slot again
    Then it asks as attempt <attempt>
    And under an id of its own

    Examples:
      | ended                   | attempt |
      | was refused as not run  | 0       |
      | broke and may have run  | 1       |
