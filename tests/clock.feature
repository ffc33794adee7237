Feature: A clock that stands still while its process does

  Scenario: A pause does not count, and is told before the reading returns
    Given a steady clock over one that is moved by hand
    When that clock moves on by 400 ms, 2500 ms and 300 ms with a reading each
    Then the steady clock has moved on by 700 ms
    And one pause was told

  Scenario: A scheduler that was frozen pushes nobody out by what came in meanwhile
    Given a desk that settles for gateways "a" and "b" with 1 free slot
    And the desk's queue holds 1 request, its slot is taken and "a" waits in tier 1
    When the desk settles anew
    And the desk is asked by "b" for tier 0
    Then the desk has refused nobody
