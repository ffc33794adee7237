@processes
Feature: A VM that stood still asks the store before it relies on what it knew
  Requests that came while a process stood still are handled at once when it goes on, and
  what changed meanwhile is still on its way to it.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | p2       | portal  |

  # Guards against 404 for routes that were confirmed 2 s before the request was sent, and
  # against service of routes that were removed as long before.
  Scenario Outline: A VM that stood still serves by the configuration of meanwhile
    Given 3 VMs that callers may ask
    When each round stops VM <vm> for 2600 ms, moves a route at once, and callers ask it 2300 ms later
    Then in 3 rounds no answer is by an older configuration

    Examples:
      | vm |
      | 1  |
      | 2  |

  # Guards against requests that reach an endpoint 2 s after its entry said that it leaves.
  Scenario Outline: A VM that stood still sends nothing to an endpoint that left meanwhile
    Given a store that answers 20 ms later
    And <count> VMs that callers may ask
    When each round stops VM 1 for 2600 ms, "p1" leaves at once, and callers ask it 2300 ms later
    Then in 3 rounds "p1" gets no request

    Examples:
      | count |
      | 1     |
      | 3     |
