Feature: What always holds for the decision core
  Random requests, streams, refusals, load reports and faults never break these.

  Scenario: Each request gets one decision and no slot or memory is overfilled
    Then every random run of the core decides each request exactly once
    And no random run of the core exceeds slots or memory
    And no random run of the core refuses a tier while a lower one takes its place

  Scenario Outline: Organisations share a tier by weight under flood
    Given the core's organisations have the weights <weights>
    When they flood the core with requests of unlike lengths
    Then their granted tokens are within 10% of their weighted shares

    Examples:
      | weights     |
      | 1,1         |
      | 1,3         |
      | 1,2,5       |

  Scenario: Teams share first, then their organisations
    Given the core's teams have the weights 1,3 and the second has two organisations
    When they flood the core with requests of unlike lengths
    Then their granted tokens are within 10% of their weighted shares
