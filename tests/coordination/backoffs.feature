Feature: Endpoints that tell a VM to back off
  That VM sends them no requests, whichever VM schedules; other VMs may.

  Background:
    Given two coordinated VMs and one endpoint with 4 slots

  Scenario: A back-off holds for one VM and not for the other
    When "a-0" is told to back off for 3000 ms
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used no slot and "a-1" one

  Scenario: A back-off ends
    When "a-0" is told to back off for 3000 ms
    And 3000 ms pass for the coordinated VMs
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used one slot and "a-1" one

  Scenario: A shorter back-off does not end a longer one
    When "a-0" is told to back off for 3000 ms
    And "a-0" is told to back off for 500 ms
    And 1000 ms pass for the coordinated VMs
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used no slot and "a-1" one

  Scenario: A request that waits when the back-off begins does not go there
    When "a-1" takes all slots for 500 ms
    And "a-0" and "a-1" each ask for a slot
    And "a-0" is told to back off for 3000 ms
    And 1000 ms pass for the coordinated VMs
    Then "a-0" has used no slot and "a-1" one

  Scenario: A restart of the endpoint ends its back-off
    When "a-0" is told to back off for 3000 ms
    And the endpoint restarts
    And "a-0" and "a-1" each ask for a slot
    Then "a-0" has used one slot and "a-1" one

  Scenario Outline: Accepted and rejected values of Retry-After
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
