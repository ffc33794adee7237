Feature: Endpoints that ask a VM for rest
  They get nothing from that VM, whoever schedules; others may send to them.

  Background:
    Given two coordinated VMs and one endpoint with 4 slots

  Scenario: It rests from one VM and not from the other
    When "a-0" is asked for 3000 ms of rest
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used no slot and "a-1" one

  Scenario: A rest ends
    When "a-0" is asked for 3000 ms of rest
    And 3000 ms pass for the coordinated VMs
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used one slot and "a-1" one

  Scenario: A shorter rest does not end a longer one
    When "a-0" is asked for 3000 ms of rest
    And "a-0" is asked for 500 ms of rest
    And 1000 ms pass for the coordinated VMs
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used no slot and "a-1" one

  Scenario: What waits for a slot as the rest begins does not go there
    When "a-1" takes all slots for 500 ms
    And "a-0" and "a-1" each ask for a slot
    And "a-0" is asked for 3000 ms of rest
    And 1000 ms pass for the coordinated VMs
    Then "a-0" has used no slot and "a-1" one

  Scenario: A new start is not bound by the rest that the one before has asked for
    When "a-0" is asked for 3000 ms of rest
    And the endpoint starts again
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used one slot and "a-1" one

  Scenario Outline: What the header may say
    Then an answer <status> with "Retry-After: <value>" asks for <ms> ms, <read>

    Examples:
      | status | value                         | ms     | read     |
      | 503    | 3                             | 3000   | read     |
      | 503    | 0.5                           | 500    | read     |
      | 503    | -1                            | 0      | rejected |
      | 503    | nan                           | 0      | rejected |
      | 503    | Thu, 03 Dec 2026 12:00:00 GMT | 0      | rejected |
      | 503    | 1e300                         | 600000 | read     |
      | 429    | 3                             | 0      | read     |
      | 421    | 3                             | 0      | read     |
