Feature: A clock that stands still while its process does

  Scenario: A pause does not count, and is told before the reading returns
    Given a steady clock over one that is moved by hand
    When that clock moves on by 400 ms, 2500 ms and 300 ms with a reading each
    Then the steady clock has moved on by 700 ms
    And one pause was told

  Scenario: A scheduler that was frozen pushes nobody out by what came in meanwhile
    Given a service queue that awaits gateways "a" and "b" with 1 free slot
    And the queue may hold 1 request, its slot is taken and "a" waits in tier 1
    When the queue settles again
    And the queue gets a request from "b" for tier 0
    Then the queue has refused nobody

  Scenario: Callers did not wait for a scheduler that was paused
    Given a service queue that awaits gateways "a" and "b" with 1 free slot
    And the queue may hold 1 request, its slot is taken and "a" waits in tier 1
    When the queue's VM was paused for 8500 ms
    And the queue's clock advances by 2600 ms
    Then the queue has refused "a" only

  Scenario: What is told after a pause is not placed twice
    Given a service queue that awaits gateways "a" and "b" with 1 free slot
    And the queue may hold 1 request, its slot is taken and "a" waits in tier 1
    When the queue's VM was paused for 2000 ms
    And the queue's clock advances by 3000 ms
    And the queue's first request ends
    Then the queue has granted "a" twice in all

  Scenario: A suspension of the VM counts for everything that is measured
    Given the process's clock
    When the VM is suspended for 7000 ms, which its monotonic clock does not count
    Then the process's clock has moved on by 7000 ms

  Scenario: A request's timeout counts a suspension of the VM
    Given a timeout of 3000 ms
    When the VM is suspended for 7000 ms, and looks at its timeouts
    Then the timeout ends what it bounds within 500 ms

  Scenario: A timeout that is not over yet goes on for what is left
    Given a timeout of 8000 ms
    When the VM is suspended for 7500 ms, and looks at its timeouts
    Then the timeout ends what it bounds after 300 to 1000 ms

  Scenario: Looking without a suspension changes nothing
    Given a timeout of 400 ms
    When the VM looks at its timeouts
    Then the timeout ends what it bounds after 300 to 1000 ms
