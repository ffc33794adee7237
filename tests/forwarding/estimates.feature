Feature: Estimates for the next scheduler
  A scheduler that is killed cannot tell what it has learnt; one that starts alone has
  nobody to ask.

  Scenario Outline: The VMs that may take over are sent the estimates
    Given "vm-0" schedules a service and has learnt of an endpoint
    When <event>
    Then the estimates are sent to <receivers>

    Examples:
      | event                | receivers           |
      | 5 s have passed      | "vm-1, vm-2"        |
      | its role is taken over | "vm-1, vm-2, vm-3"  |

  Scenario: A new scheduler with a recent copy does not read the store
    Given the store's row has slowdown 2.0
    And "vm-0" was sent slowdown 4.0 by "vm-1" 9 s ago
    When "vm-0" takes the role
    Then its slowdown is above 3.0, adopted from "vm-1", after 0 store calls

  # A scheduler of an earlier version sends no estimates, though it may have read the row.
  Scenario Outline: Without a recent copy the row is read once, after the role is taken
    Given the store's row has slowdown 4.0
    And <copy>
    When "vm-0" takes the role
    Then its slowdown is above 3.0, adopted from "store", after 1 store call

    Examples:
      | copy                                             |
      | "vm-0" was sent nothing                          |
      | "vm-0" was sent slowdown 2.0 by "vm-1" 11 s ago  |

  Scenario Outline: A row that cannot be read is ignored
    Given the store's row is <value>
    When "vm-0" takes the role
    Then it keeps its starting slowdown after 1 store call

    Examples:
      | value                                                                   |
      | not JSON                                                                |
      | {"written_ms":1,"estimates":[["e",7,"1","fast",0,0,9,0]]}               |
      | {"written_ms":1,"estimates":[["e",7,"1",4000,0,0,9,-1]]}                |
      | {"written_ms":1,"estimates":[["e",7,"1",99999999999999999999,0,0,9,0]]} |

  Scenario: While the store is away, an older copy is used
    Given a store that is away
    And "vm-0" was sent slowdown 4.0 by "vm-1" 20 s ago
    When "vm-0" takes the role
    Then its slowdown is above 2.0, adopted from "vm-1", after 1 store call

  # Store calls are paid for.
  Scenario Outline: At most one write in 10 s, and only of changes
    Given "vm-0" schedules a service and has learnt of an endpoint
    When its slowdown is <first> after 10 s and <second> after <later_s> s more
    Then the row is written <count> times

    Examples:
      | first | second | later_s | count |
      | 4.0   | 6.0    | 5       | 1     |
      | 4.0   | 6.0    | 10      | 2     |
      | 4.0   | 4.1    | 20      | 1     |

  Scenario: All VMs end and start again
    Given "vm-0" schedules a service and has learnt of an endpoint
    And its slowdown is 4.0 after 10 s and 4.0 after 1 s more
    When another VM starts and takes the role
    Then its slowdown is above 3.0, adopted from "store", after 1 store call
