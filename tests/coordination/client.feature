Feature: A gateway acquires slots from whichever VM schedules
  Only the ticket of a waiting request accepts a grant, so that no request is
  dispatched twice, whatever schedulers send.

  Background:
    Given a coordinated region of VMs "a-1 a-2 b-1 b-2 c-1 c-2"
    And coordinated endpoints "a/1=2 b/1=2 c/1=2"

  Scenario: A single VM grants in the same event loop iteration
    Given a coordinated region of VMs "a-1"
    When "a-1" asks for 3 slots of tier 0
    Then 2 coordinated requests have a slot before the clock moves

  Scenario: Every request gets one slot and no endpoint more than it has
    When "each" asks for 5 slots of tier 1
    Then all coordinated requests run exactly once
    And no coordinated endpoint ever ran more than its slots
    And no scheduler holds any request in the end

  Scenario: A higher tier goes first across all VMs
    Given all coordinated slots are taken
    When "each" asks for 2 slots of tier 2
    And "each" asks for 2 slots of tier 0
    Then all coordinated requests run exactly once
    And every request of tier 0 ran before those of tier 2

  Scenario: A deadline that passes while waiting is a final refusal at once
    Given all coordinated slots are taken for 5000 ms
    And no message of kind "Refused" arrives
    When "b-1" asks for a slot with 400 ms left
    And the coordinated clock moves by 450 ms
    Then the last coordinated request was refused as "deadline_passed"
    And the refusal has the outcome not_run and a retry delay
    And the scheduler has no waiting request

  Scenario: A refusal of the scheduler reaches the caller with its retry delay
    Given all coordinated slots are taken for 5000 ms
    When the scheduler refuses a request of "b-1" with 70 ms retry delay
    Then the last coordinated request was refused as "deadline_passed"

  Scenario: Cancelling a waiting request withdraws it
    Given all coordinated slots are taken for 5000 ms
    When "b-1" asks for 1 slots of tier 0
    And the last coordinated request is cancelled
    Then the scheduler has no waiting request

  Scenario: A grant for a request that was cancelled meanwhile is returned
    Given messages of kind "Granted" are held back
    When "another" asks for 1 slots of tier 0
    And the last coordinated request is cancelled
    And the held messages arrive
    Then no scheduler holds any request in the end
    And the last coordinated request ran at "nowhere"

  # Guards against slots that stay taken by requests which did not need them any more.
  Scenario: A grant that is given back unused frees its slot at once
    When "another" is granted all slots and gives one back
    Then one coordinated slot is free

  Scenario: A grant duplicated by the network is used once
    Given a network that loses 0 %, duplicates 100 % and delays by up to 0 ms
    When "each" asks for 4 slots of tier 0
    Then all coordinated requests run exactly once
    And no scheduler holds any request in the end

  Scenario: A lost grant is sent again
    Given no message of kind "Granted" arrives
    When "another" asks for 1 slots of tier 0
    And the coordinated clock moves by 200 ms
    And the network works again
    Then all coordinated requests run exactly once
    And no scheduler holds any request in the end

  Scenario: A lost submit is sent again with the remaining budget
    Given no message of kind "Submit" arrives
    When "another" asks for 1 slots of tier 0
    And the coordinated clock moves by 200 ms
    And the network works again and submits are recorded
    Then all coordinated requests run exactly once
    And the scheduler received a smaller time budget

  Scenario: A lost slot release is detected by the next syncs
    Given no message of kind "Progress" arrives
    When "another" asks for 1 slots of tier 0
    And the coordinated clock moves by 200 ms
    And the network works again
    Then all coordinated requests run exactly once
    And no scheduler holds any request after 3000 ms

  Scenario: A grant for an endpoint known to be leaving is not used
    Given all coordinated endpoints but "b/1" are marked leaving except on the scheduler
    When "another" asks for 1 slots of tier 0
    Then all coordinated requests run exactly once
    And the last coordinated request ran at "b/1"

  Scenario: A gateway that was paused uses no grant from before the pause
    Given all coordinated slots are taken for 500 ms
    When "another" asks for 1 slots of tier 0
    And the asking gateway freezes for 1500 ms
    Then the asking gateway was granted a slot and does not use it
    And all coordinated requests run exactly once

  Scenario: Grants for an endpoint that has returned are used again
    Given a coordinated region of VMs "a-1"
    And all coordinated endpoints are marked leaving on all VMs
    And all coordinated endpoints have their marks removed on all VMs
    When "a-1" asks for 3 slots of tier 0
    Then 2 coordinated requests have a slot before the clock moves

  Scenario: A request id in use is refused
    Given all coordinated slots are taken for 5000 ms
    When "b-1" asks twice with one request id
    Then the last coordinated request was refused as "claim_held"

  Scenario: A request for an unknown service is refused
    When "b-1" asks for a slot of an unknown service
    Then the last coordinated request was refused as "not_ready"

  Scenario Outline: No request is lost if messages are lost, delayed and duplicated
    Given a network that loses <loss> %, duplicates <doubled> % and delays by up to <delay> ms
    When "each" asks for 6 slots of tier 1
    Then all coordinated requests run exactly once
    And no scheduler holds any request in the end

    Examples:
      | loss | doubled | delay |
      | 5    | 5       | 2     |
      | 20   | 20      | 40    |
      | 40   | 0       | 10    |

  Scenario: No sequence of faults loses a request or runs one twice
    Then under faults generated by hypothesis, each request ends exactly once
