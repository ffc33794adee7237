Feature: Invariants of the scheduling core
  They hold for random requests, streams, refusals, load reports and faults.

  Scenario: Each request gets one decision; slots and memory are never exceeded
    Then every random run of the core decides each request exactly once
    And no random run of the core exceeds slots or memory
    And no random run of the core refuses a tier while a lower one takes its place

  Scenario Outline: Organisations share a tier by weight under overload
    Given the core's organisations have the weights <weights>
    When they submit more requests of varied lengths than the core can serve
    Then their granted tokens are within 10% of their weighted shares

    Examples:
      | weights     |
      | 1,1         |
      | 1,3         |
      | 1,2,5       |

  Scenario: Tokens are shared between teams, then between their organisations
    Given the core's teams have the weights 1,3 and the second has two organisations
    When they submit more requests of varied lengths than the core can serve
    Then their granted tokens are within 10% of their weighted shares
