Feature: A gateway gets slots from whichever VM schedules
  Only the ticket of a waiting request can take a grant, so that no request
  is dispatched twice whatever schedulers say.

  Background:
    Given a coordinated region of VMs "a-1 a-2 b-1 b-2 c-1 c-2"
    And coordinated endpoints "a/1=2 b/1=2 c/1=2"

  Scenario: A single VM grants in the same turn without any wait
    Given a coordinated region of VMs "a-1"
    When "a-1" asks for 3 slots of tier 0
    Then 2 coordinated requests have a slot before the clock moves

  Scenario: Every request gets one slot and no endpoint more than it has
    When "each" asks for 5 slots of tier 1
    Then all coordinated requests run exactly once
    And no coordinated endpoint ever ran more than its slots
    And no scheduler holds anything in the end

  Scenario: A higher tier goes first over all VMs
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
    And the refusal says that it did not run and when to come back
    And the scheduler has no waiting request

  Scenario: A refusal of the scheduler reaches the caller with its figures
    Given all coordinated slots are taken for 5000 ms
    When the scheduler refuses a request of "b-1" with 70 ms to wait
    Then the last coordinated request was refused as "deadline_passed"

  Scenario: Cancelling a waiting request withdraws it
    Given all coordinated slots are taken for 5000 ms
    When "b-1" asks for 1 slots of tier 0
    And the last coordinated request is cancelled
    Then the scheduler has no waiting request

  Scenario: A grant for a request that was cancelled meanwhile is given back
    Given messages of kind "Granted" are kept back
    When "another" asks for 1 slots of tier 0
    And the last coordinated request is cancelled
    And the kept messages arrive
    Then no scheduler holds anything in the end
    And the last coordinated request ran at "nowhere"

  Scenario: A grant repeated by the network is used once
    Given a network that loses 0 %, doubles 100 % and delays by up to 0 ms
    When "each" asks for 4 slots of tier 0
    Then all coordinated requests run exactly once
    And no scheduler holds anything in the end

  Scenario: A lost grant is sent again
    Given no message of kind "Granted" arrives
    When "another" asks for 1 slots of tier 0
    And the coordinated clock moves by 200 ms
    And the network is whole again
    Then all coordinated requests run exactly once
    And no scheduler holds anything in the end

  Scenario: A lost submit is sent again with the budget that is left
    Given no message of kind "Submit" arrives
    When "another" asks for 1 slots of tier 0
    And the coordinated clock moves by 200 ms
    And the network is whole again and submits are noted
    Then all coordinated requests run exactly once
    And the scheduler heard a budget that had shrunk

  Scenario: A lost release is found by comparing books
    Given no message of kind "Progress" arrives
    When "another" asks for 1 slots of tier 0
    And the coordinated clock moves by 200 ms
    And the network is whole again
    Then all coordinated requests run exactly once
    And no scheduler holds anything after 3000 ms

  Scenario: A grant for an endpoint known to be leaving is not used
    Given all coordinated endpoints but "b/1" are leaving, as the gateways know
    When "another" asks for 1 slots of tier 0
    Then all coordinated requests run exactly once
    And the last coordinated request ran at "b/1"

  Scenario: A gateway that has not run for long uses no grant from before
    Given all coordinated slots are taken for 500 ms
    When "another" asks for 1 slots of tier 0
    And the asking gateway freezes for 1500 ms
    Then the asking gateway has a grant in its hands and uses it not
    And all coordinated requests run exactly once

  Scenario: Grants for an endpoint that has returned are used again
    Given a coordinated region of VMs "a-1"
    And all coordinated endpoints are leaving, as all VMs know
    And all coordinated endpoints have returned, as all VMs know
    When "a-1" asks for 3 slots of tier 0
    Then 2 coordinated requests have a slot before the clock moves

  Scenario: A request id in use is not queued again
    Given all coordinated slots are taken for 5000 ms
    When "b-1" asks twice with one request id
    Then the last coordinated request was refused as "claim_held"

  Scenario: An unknown service is refused as not run
    When "b-1" asks for a slot of an unknown service
    Then the last coordinated request was refused as "not_ready"

  Scenario Outline: Messages lost, delayed and doubled lose no request
    Given a network that loses <loss> %, doubles <doubled> % and delays by up to <delay> ms
    When "each" asks for 6 slots of tier 1
    Then all coordinated requests run exactly once
    And no scheduler holds anything in the end

    Examples:
      | loss | doubled | delay |
      | 5    | 5       | 2     |
      | 20   | 20      | 40    |
      | 40   | 0       | 10    |

  Scenario: No schedule of faults loses a request or runs one twice
    Then whatever hypothesis does to the region, each request ends exactly once
