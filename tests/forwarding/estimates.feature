Feature: Estimates for the next scheduler
  A scheduler that is killed cannot tell what it has learnt; one that starts alone has
  nobody to ask.

  # An error in one service must not end the sharing of the others. Adoptions since the
  # last message, as of endpoints that were declared later, are logged.
  Scenario Outline: The VMs that may take over are sent the estimates
    Given "vm-0" schedules a service, and an endpoint's slowdown is 4.0
    When <event> for its estimates
    Then the estimates are sent to <receivers>

    Examples:
      | event                                  | receivers        |
      | 5 s have passed, and one service fails | vm-1, vm-2       |
      | its role is taken over                 | vm-1, vm-2, vm-3 |

  # A good row is one that a VM wrote before all ended. Store calls are paid for. A copy without half of the endpoints is not enough: "odd" is
  # one of a single endpoint whose start no message can hold. A row that is wrong or from
  # the future is ignored; while the store is away, any copy is used.
  Scenario Outline: A new scheduler adopts what it was sent, or the row
    Given the store's row is <row>
    And "vm-0" was sent slowdown <sent> by "vm-1" <age_s> s ago
    When "vm-0" takes the role
    Then it has adopted from "<source>", with <calls> store calls

    Examples:
      | row                                                                     | sent | age_s | source | calls |
      | good                                                                    | 4.0  | 9     | vm-1   | 0     |
      | good                                                                    | 4.0  | 11    | store  | 1     |
      | good                                                                    | none | 0     | store  | 1     |
      | good                                                                    | odd  | 0     | store  | 1     |
      | away                                                                    | 4.0  | 20    | vm-1   | 1     |
      | away                                                                    | none | 0     | none   | 1     |
      | not JSON                                                                | none | 0     | none   | 1     |
      | {"written_ms":1,"estimates":[["e",7,"1","fast",0,0,9,0]]}               | none | 0     | none   | 1     |
      | {"written_ms":1,"estimates":[["e",7,"1",4000,0,0,9,-1]]}                | none | 0     | none   | 1     |
      | {"written_ms":1,"estimates":[["e",7,"1",99999999999999999999,0,0,9,0]]} | none | 0     | none   | 1     |
      | {"written_ms":9000000000000,"estimates":[["e",7,"1",4000,0,0,9,0]]}     | none | 0     | none   | 1     |

  # Two former schedulers may have sent copies.
  Scenario: The newest of several copies is adopted, once
    Given "vm-0" was sent slowdown 2.0 by "vm-1" 1 s ago
    And "vm-0" was sent slowdown 4.0 by "vm-2" 0 s ago
    When "vm-0" takes the role
    Then it has adopted from "vm-2", with 0 store calls

  # A row of starting values would replace what all VMs knew.
  Scenario: A failed read is repeated before anything is written
    Given the store's row is away
    When "vm-0" takes the role
    And the store is back for 20 s
    Then the row has been read, not written

  Scenario Outline: At most one write in 10 s, and only of changes
    Given "vm-0" schedules a service, and an endpoint's slowdown is 4.0
    When it has written a row and the slowdown is <slowdown> after <s> s
    Then the row is written <count> times more

    Examples:
      | slowdown | s  | count |
      | 6.0      | 5  | 0     |
      | 6.0      | 10 | 1     |
      | 4.1      | 20 | 0     |
