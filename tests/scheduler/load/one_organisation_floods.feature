Feature: One organisation floods a service
  Load: for 10 s, one organisation asks forty times its usual beside eight others that
  together ask for less than a third of 24 slots. Callers need a first byte within 500 ms.
  Without shares .47 to .54 of the other organisations' requests are served, and .22 to
  .30 beside unequal sizes.

  Scenario Outline: The other organisations are served
    Given the load of one flooding organisation with answers of <answers> tokens
    When it is played from seed <seed> with a new core at <replaced> ms
    Then at least <least> of the other organisations' requests are served
    And at least 0.80 of the simulated slots are used

    Examples: no failure
      | answers | replaced | seed | least |
      | 50      | 0        | 1    | 0.95  |
      | 50      | 0        | 11   | 0.95  |

    Examples: the core is replaced, running and waiting requests are registered again
      | answers | replaced | seed | least |
      | 50      | 9000     | 1    | 0.95  |
      | 50      | 9000     | 11   | 0.95  |

    Examples: unequal sizes
      | answers     | replaced | seed | least |
      | 10,20,30,200 | 0       | 1    | 0.95  |
      | 10,20,30,200 | 0       | 11   | 0.95  |

  # Slots lent for answers of 1.4 s are reclaimed only as they become free.
  Scenario: The other organisations are served beside answers of 1.4 s
    Given the load of one flooding organisation with answers of 10,20,400 tokens
    When it is played from seed 15 with a new core at 0 ms
    Then at least 0.95 of the other organisations' requests are served

  Scenario: Shares do not reorder ranks
    Given the load of one flooding organisation with answers of 50 tokens
    And the flood is one rank more urgent than the others, beside a second organisation
    When it is played from seed 1 with a new core at 0 ms
    Then no request of the others is granted before a waiting one of the flood
