Feature: Ranks of requests
  An organisation's rank goes before its route's. Requests of routes that ask for no key
  have no organisation.
  Seen: under load hardly any of them was answered, and routes that were added served
  .15 of what they were asked for, where the first ones served .85. How it came about: no
  organisation counted as the least urgent rank that there can be, behind the least urgent
  route of everybody. What proved it: their ranks in the log, and that they alone waited
  until their time was over.

  Scenario: Requests without an organisation stand among the least urgent ones
    Given a configuration with the organisations
      | organisation | rank |
      | urgent       | 0    |
      | usual        | 1    |
    Then a request of nobody on a route of rank 0 has the rank of "usual" on it
    And it goes before a request of "usual" on a route of rank 3
    And it goes behind a request of "urgent" on a route of rank 3
    And a request of nobody on a route of rank 2 has the rank of "usual" on it
    And it goes before a request of "usual" on a route of rank 3

  Scenario: Where no organisations are declared the route's rank decides
    Given a configuration without organisations
    Then a request of nobody on a route of rank 0 goes before one on a route of rank 1
