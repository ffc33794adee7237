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

  # Guards against callers with a part of their answer who wait behind new requests.
  Scenario: A stream that its caller resumes goes before new requests of its rank
    Given a request that resumes a stream of "v1"
    When it asks for a slot
    Then it is due within 150 ms
    And it may not be refused early
    And it asks for endpoints of "v1"

  # Guards against streams that wait for a slot until their deadline.
  Scenario: A stream that has begun waits no longer than its caller
    Given a request whose send broke and may have run
    And its answer has begun and sent its last event after 300 ms
    When it asks for a slot after 500 ms
    Then it waits for 1800 ms at most

  Scenario: A stream that has begun is resumed before new requests of its rank
    Given a request whose send broke and may have run
    And its answer has begun
    When it asks for a slot again
    Then it is due within 150 ms
    And it may not be refused early
