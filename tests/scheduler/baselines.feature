Feature: Baseline placement policies
  They are registered in the same registry as the default policy.

  Scenario: Round robin grants at once, to each endpoint in turn
    Given a core of the policy "round_robin" with 3 endpoints of 1 slot
    When the core receives 6 requests of tier 0
    Then the core granted 2 requests on each endpoint

  Scenario: Least reported load uses the last load report
    Given a core of the policy "least_reported" with 2 endpoints of 4 slots
    When the core receives a load report of "p0" with 4 running and 9 waiting, 5000 ms old
    And the core receives the requests
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then the core granted "a" on "p1"
    And the core granted "b" on "p1"

  Scenario: A gateway queue uses its fixed share of slots
    Given a core of the policy "gateway_queues" with 2 endpoints of 18 slots
    When the core receives 10 requests of tier 0
    Then the core has granted 4 requests

  Scenario: A single queue orders by tier and deadline
    Given a core of the policy "single_queue" with 1 endpoints of 1 slot
    When the core receives the requests
      | id    | tier | budget_ms |
      | first | 0    | 60000     |
      | late  | 0    | 50000     |
      | soon  | 0    | 40000     |
      | low   | 1    | 30000     |
    And the core's request "first" ends
    Then the core granted "soon" on "p0"
    And the core has not decided "late"
