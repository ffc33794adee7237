Feature: Ranks of requests
  An organisation's rank takes precedence over its route's rank. Requests of public
  routes have no organisation. They once got a rank behind the least urgent route of
  every organisation, so that under overload almost none of them was answered: their
  routes served 15 % of the requests where others served 85 %.

  Scenario: Requests without an organisation rank with the least urgent organisation
    Given a configuration with the organisations
      | organisation | rank |
      | urgent       | 0    |
      | usual        | 1    |
    Then a request without an organisation on a route of rank 0 has the rank of "usual"
    And it goes before a request of "usual" on a route of rank 3
    And it goes behind a request of "urgent" on a route of rank 3
    And a request without an organisation on a route of rank 2 has the rank of "usual"
    And it goes before a request of "usual" on a route of rank 3

  Scenario: Without declared organisations the route's rank decides
    Given a configuration without organisations
    Then a request on a route of rank 0 goes before one on a route of rank 1
