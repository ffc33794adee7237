Feature: What a repeated send says of itself to the scheduler
  A request is charged to its organisation's limit once for each time that it may run,
  and a stream that has begun is urgent.

  Scenario Outline: A repeat is charged like a new request unless the first may have run
    Given a request whose send <ended>
    When it asks for a slot again
    Then it asks as attempt <attempt>
    And under an id of its own

    Examples:
      | ended                   | attempt |
      | was refused as not run  | 0       |
      | broke and may have run  | 1       |

  Scenario: A stream that has begun asks to go on before new requests of its rank
    Given a request whose send broke and may have run
    And its answer has begun
    When it asks for a slot again
    Then it is due within 150 ms
    And it may not be refused early
