Feature: Estimates for the next scheduler
  A scheduler that is killed cannot tell what it has learnt; one that starts alone has
  nobody to ask.

  Scenario Outline: The VMs that may take over are sent the estimates
    Given "vm-0" schedules a service, and an endpoint's slowdown is 4.0
    When <event>
    Then the estimates are sent to <receivers>

    Examples:
      | event                   | receivers        |
      | 5 s have passed         | vm-1, vm-2       |
      | its role is taken over  | vm-1, vm-2, vm-3 |

  # A scheduler of an earlier version sends no estimates. Store calls are paid for.
  Scenario Outline: A new scheduler reads the row unless it has a recent copy
    Given the store's row has slowdown 4.0
    And "vm-0" was sent slowdown <sent> by "vm-1" <age_s> s ago
    When "vm-0" takes the role
    Then it has adopted from "<source>", with <calls> store calls

    Examples:
      | sent | age_s | source | calls |
      | 4.0  | 9     | vm-1   | 0     |
      | 4.0  | 11    | store  | 1     |
      | none | 0     | store  | 1     |

  Scenario Outline: A row that cannot be read is ignored
    Given the store's row is <value>
    When "vm-0" takes the role
    Then it has adopted from "none", with 1 store calls

    Examples:
      | value                                                                   |
      | not JSON                                                                |
      | {"written_ms":1,"estimates":[["e",7,"1","fast",0,0,9,0]]}               |
      | {"written_ms":1,"estimates":[["e",7,"1",4000,0,0,9,-1]]}                |
      | {"written_ms":1,"estimates":[["e",7,"1",99999999999999999999,0,0,9,0]]} |

  Scenario Outline: While the store is away, a copy is used
    Given a store that is away
    And "vm-0" was sent slowdown <sent> by "vm-1" 20 s ago
    When "vm-0" takes the role
    Then it has adopted from "<source>", with 1 store calls

    Examples:
      | sent | source |
      | 4.0  | vm-1   |
      | none | none   |

  Scenario Outline: At most one write in 10 s, and only of changes
    Given "vm-0" schedules a service, and an endpoint's slowdown is 4.0
    When it has written a row and the slowdown is <slowdown> after <s> s
    Then the row is written <count> times more

    Examples:
      | slowdown | s  | count |
      | 6.0      | 5  | 0     |
      | 6.0      | 10 | 1     |
      | 4.1      | 20 | 0     |

  Scenario: All VMs end and start again
    Given "vm-0" schedules a service, and an endpoint's slowdown is 4.0
    When it has written a row and the slowdown is 4.0 after 1 s
    And another VM starts and takes the role
    Then it has adopted from "store", with 1 store calls
