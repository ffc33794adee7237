Feature: The scheduler role moves without losing requests
  The role follows the view; its state is rebuilt from the gateways' records.

  Background:
    Given a coordinated region of VMs "a-1 a-2 b-1 b-2 c-1 c-2"
    And coordinated endpoints "a/1=2 b/1=2 c/1=2"

  Scenario: All VMs with one view follow one scheduler
    Then all coordinated VMs follow the same scheduler
    And only that VM holds the scheduler role

  Scenario: The scheduler is killed with requests waiting and running
    Given all coordinated slots are taken for 800 ms
    When "each" asks for 2 slots of tier 2
    And "each" asks for 2 slots of tier 0
    And the scheduler is killed
    And the views are updated
    Then all coordinated requests run exactly once
    And no coordinated endpoint ever ran more than its slots
    And every request of tier 0 ran before those of tier 2
    And no scheduler holds any request in the end

  Scenario: The scheduler is killed and the views still contain it
    Given all coordinated slots are taken for 800 ms
    When "each" asks for 2 slots of tier 0
    And the scheduler is killed
    Then all coordinated requests run exactly once
    And all coordinated VMs follow the same scheduler

  Scenario: The scheduler freezes and resumes
    Given all coordinated slots are taken for 800 ms
    When "others" asks for 3 slots of tier 1
    And the scheduler freezes for 3000 ms
    Then all coordinated requests run exactly once
    And the coordinated clock moves by 3000 ms
    And all coordinated VMs follow the same scheduler
    And no scheduler holds any request in the end

  Scenario: A planned stop hands the role over and interrupts no request
    Given all coordinated slots are taken for 800 ms
    When "each" asks for 2 slots of tier 1
    And the scheduler drains
    And the views are updated
    Then its handover ends
    And another coordinated VM holds the role
    And all coordinated requests run exactly once
    And no coordinated endpoint ever ran more than its slots

  Scenario: A draining scheduler serves its remaining followers
    Given all coordinated slots are taken for 800 ms
    When the scheduler drains
    And "another" asks for 1 slots of tier 0
    Then all coordinated requests run exactly once

  Scenario: A VM that joins and wins the hash takes over
    Given a coordinated region of VMs "a-1"
    And all coordinated slots are taken for 800 ms
    When "a-1" asks for 4 slots of tier 1
    And VMs join until the role moves
    Then all coordinated requests run exactly once
    And no coordinated endpoint ever ran more than its slots

  Scenario: The slots of a dead gateway are freed only after a delay
    When "another" asks for 1 slots of tier 0
    And that VM is killed
    And the views are updated
    Then the scheduler still holds the slot of its request
    And no scheduler holds any request in the end

  Scenario: A restarted gateway is recognised by its incarnation
    Given all coordinated slots are taken for 5000 ms
    When "another" asks for 1 slots of tier 0
    And that VM restarts under the same name
    And the views are updated
    Then the scheduler has no waiting request

  Scenario: Late grants of a former scheduler are returned
    Given messages of kind "Granted" are held back
    When "another" asks for 1 slots of tier 0
    And the role moves while the former scheduler keeps running
    And the held messages of the former scheduler arrive
    Then the last coordinated request has no slot yet
    And the former scheduler got its unused grant back
    And the network works again
    And all coordinated requests run exactly once
    And no scheduler holds any request in the end

  Scenario: A VM that is not the scheduler redirects to the one it follows
    When a VM that is not the scheduler gets a submit
    Then it answers that it is not the scheduler and names the one it follows

  Scenario: A data centre is cut off and heals
    Given all coordinated slots are taken for 800 ms
    When "each" asks for 3 slots of tier 1
    And data centre "a" is cut off from "b c"
    And the views are updated
    And the coordinated clock moves by 1000 ms
    Then each side grants only its own endpoints
    And the cut is healed
    And all coordinated requests run exactly once
    And all coordinated VMs follow the same scheduler
    And no scheduler holds any request in the end

  Scenario: A partition that the views do not show yet runs no request twice
    Given all coordinated slots are taken for 800 ms
    When "each" asks for 3 slots of tier 1
    And data centre "a" is cut off from "b c"
    And the coordinated clock moves by 4000 ms
    And the cut is healed
    Then all coordinated requests run exactly once
    And no scheduler holds any request in the end

  Scenario: A gateway without a scheduler grants its share, then follows one again
    When "a-1" is cut off from all others with an unchanged view
    And "a-1" asks for 4 slots of tier 0
    And "a-1" falls back to its local queue
    Then all coordinated requests run exactly once
    And no coordinated endpoint ever ran more than its slots
    And the cut is healed
    And all coordinated VMs follow the same scheduler
    And no scheduler holds any request in the end

  Scenario: A gateway that reconnects keeps its slots throughout
    Given all coordinated slots are taken for 5000 ms
    When "a-1" asks for 6 slots of tier 0
    And "b-1" is cut off from all others with an unchanged view
    And the coordinated clock moves by 2500 ms
    And the cut is healed
    Then no coordinated endpoint ever ran more than its slots
    And all coordinated VMs follow the same scheduler

  Scenario: A VM that schedules only for itself grants its share
    Given all coordinated slots take 4000 ms
    When the second choice is cut off from all others with an unchanged view
    And the second choice asks for 8 slots of tier 0
    And the coordinated clock moves by 3000 ms
    Then the second choice uses only its share of slots

  Scenario: A reconnecting gateway registers its waiting and running requests
    Given all coordinated slots take 4000 ms
    When "a-1" is cut off from all others with an unchanged view
    And "a-1" asks for 8 slots of tier 0
    And "a-1" falls back to its local queue
    And the cut is healed
    And the coordinated clock moves by 1000 ms
    Then the scheduler knows all requests of "a-1"
    And all coordinated requests run exactly once

  Scenario: A new scheduler knows the running requests before it grants
    Given all coordinated slots are taken for 5000 ms
    When "each" asks for 1 slots of tier 0
    And the role moves while the former scheduler keeps running
    And the coordinated clock moves by 600 ms
    Then no coordinated endpoint ever ran more than its slots

  Scenario: A policy that queues at each gateway sends no message
    Given a coordinated region under policy "gateway_queues" of VMs "a-1 a-2"
    When "each" asks for 3 slots of tier 0
    Then all coordinated requests run exactly once
    And no message was sent between coordinated VMs

  Scenario: Reports reach the cores and a leaving engine is announced
    Given an engine that reports its load, cache events and state "leaving"
    When the scheduler polls its engines
    Then the core got the load report and the cache events
    And the engine is marked as leaving and membership was notified

  Scenario: A frozen engine does not delay the reports of the others
    Given an engine that reports its load beside one that is frozen
    When the scheduler polls its engines in rounds until 3 reports have arrived
    Then the frozen engine was polled once meanwhile

  Scenario: Malformed reports are ignored
    Given an engine that answers reports with garbage
    When the scheduler polls its engines
    Then the core got no report

  Scenario: The status shows roles, queues and the followed scheduler
    Given all coordinated slots are taken for 5000 ms
    When "each" asks for 1 slots of tier 1
    And the coordinated clock moves by 100 ms
    Then the status of the scheduler shows 6 waiting and 6 running requests

  Scenario Outline: Rendezvous hashing moves few services when a VM is lost
    Then of 200 services only those of a lost VM move among <vms> VMs

    Examples:
      | vms |
      | 3   |
      | 9   |

  Scenario: A VM without settings is skipped as scheduler
    When the scheduler has lost its settings and restarts
    And "a-1" asks for 2 slots of tier 0
    Then all coordinated requests run exactly once
    And another coordinated VM holds the role

  Scenario: A restarted scheduler lets no lower tier overtake higher ones elsewhere
    Given all coordinated slots are taken for 3000 ms
    When "others" asks for 2 slots of tier 0
    And the scheduler restarts and is asked for 1 slots of tier 2 when it sees the others
    And the views are updated
    Then all coordinated requests run exactly once
    And every request of tier 0 ran before those of tier 2
    And no coordinated endpoint ever ran more than its slots

  Scenario: An idle VM ticks less often
    Given all coordinated slots are taken for 800 ms
    Then the scheduler's VM ticks every 25 ms and the others every 100 ms
    When "others" asks for 1 slots of tier 1
    Then the VMs that wait tick every 25 ms
