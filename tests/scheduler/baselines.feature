Feature: Simpler policies to measure against
  They stand behind the same registry as our own.

  Scenario: Round robin grants at once and in turn
    Given a core of the policy "round_robin" with 3 endpoints of 1 slot
    When the core is given 6 requests of tier 0
    Then the core granted 2 requests on each endpoint

  Scenario: Least reported load believes the last report
    Given a core of the policy "least_reported" with 2 endpoints of 4 slots
    When the core hears from "p0" of 4 running and 9 waiting, 5000 ms ago
    And the core is given the requests
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then the core granted "a" on "p1"
    And the core granted "b" on "p1"

  Scenario: A queue at a gateway uses its fixed share of slots
    Given a core of the policy "gateway_queues" with 2 endpoints of 18 slots
    When the core is given 10 requests of tier 0
    Then the core has granted 4 requests

  Scenario: A single queue goes by tier and deadline
    Given a core of the policy "single_queue" with 1 endpoints of 1 slot
    When the core is given the requests
      | id    | tier | budget_ms |
      | first | 0    | 60000     |
      | late  | 0    | 50000     |
      | soon  | 0    | 40000     |
      | low   | 1    | 30000     |
    And the core sees "first" end
    Then the core granted "soon" on "p0"
    And the core has not decided "late"
