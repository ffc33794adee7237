@processes
Feature: A VM that is cut off from all endpoints serves its callers by way of others
  Its links to callers, the store and the other VMs stay.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | p2       | portal  |
      | e1       | pool    |
      | e2       | pool    |
    And a platform VM
    And a platform VM in "hall-b" with links of its own

  # Guards against requests that are lost on a VM which reaches no endpoint by itself.
  Scenario Outline: Callers of a cut VM are served at the first try
    When its links are cut so that connections are "<how>", and 2500 ms pass with callers
    And callers send 60 requests of all kinds to it within 3 s
    Then at least 0.95 of them are served
    And no request that may not be repeated ran twice

    Examples:
      | how         |
      | refused     |
      | silent      |
      | new refused |
