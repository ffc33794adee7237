Feature: Plain services
  A call has no prompt and no tokens; its duration is learnt from the answers.

  Scenario: Calls run concurrently in all slots
    Given a core of a plain service with 2 endpoints of 4 slots
    When the core receives 10 requests of tier 0
    Then the core has granted 8 requests

  Scenario: Calls go to the endpoint that answers faster
    Given a core of a plain service with 2 endpoints of 4 slots
    And the core has measured calls of 20 ms on "p1", 300 ms on "p0"
    When the core receives the requests
      | id | tier |
      | a  | 0    |
    Then the core granted "a" on "p1"
