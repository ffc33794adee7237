Feature: What a retried request states when it asks for a slot
  A request is charged to its organisation's limit once for each time that it may have
  run, and a stream that has begun is urgent.

  Scenario Outline: A retry is charged like a new request unless the first may have run
    Given a request whose send <ended>
    When it asks for a slot again
    Then it asks as attempt <attempt>
    And with a new request id

    Examples:
      | ended                   | attempt |
      | was refused as not run  | 0       |
      | broke and may have run  | 1       |

  Scenario: A stream that has begun is resumed before new requests of its rank
    Given a request whose send broke and may have run
    And its answer has begun
    When it asks for a slot again
    Then it is due within 150 ms
    And it may not be refused early
