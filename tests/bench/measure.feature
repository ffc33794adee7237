Feature: Figures of a run
  They are counted at the callers and the engines.

  Scenario: A lower tier that went on after a refusal is an inversion
    Given a bench request of rank 0 that is refused for "queue_full" after 100 ms
    And a bench request of rank 2 that is dispatched after 900 ms
    Then the bench counts 1 inversions

  Scenario: A lower tier that went on before the refusal is none
    Given a bench request of rank 0 that is refused for "queue_full" after 1000 ms
    And a bench request of rank 2 that is dispatched after 900 ms
    Then the bench counts 0 inversions

  Scenario: A lower tier that took what the refused one could not use is none
    Given a bench request of rank 0 that is refused for "deadline_unreachable" after 100 ms
    And a bench request of rank 2 that is dispatched after 3990 ms
    Then the bench counts 0 inversions

  Scenario Outline: What counts is the speed of a full batch
    Given a bench request of rank 0 that is refused for "deadline_unreachable" after 100 ms
    And a bench request of rank 2 that is dispatched after <dispatched> ms
    Then the bench counts <inversions> inversions

    # 100 prompt tokens take 100 ms, four more answer tokens 436 ms.
    Examples:
      | dispatched | inversions |
      | 3460       | 1          |
      | 3470       | 0          |

  Scenario: One that waited in vain while a lower tier went on is an inversion
    Given a bench request of rank 0 that is refused for "deadline_passed" after 4000 ms
    And a bench request of rank 1 that is dispatched after 900 ms
    Then the bench counts 1 inversions

  Scenario: A limit of the organisation is no overload
    Given a bench request of rank 0 that is refused for "request_limit" after 100 ms
    And a bench request of rank 2 that is dispatched after 900 ms
    Then the bench counts 0 inversions

  Scenario: Shares nest by team and what is left over goes to the others
    Given bench teams "north" of weight 3 and "south" of weight 1
    And bench organisations "n1" of weight 1 and "n2" of weight 1 in "north"
    And bench organisations "s1" of weight 1 and "s2" of weight 3 in "south"
    When 800 tokens are divided among demands of 1000 but 100 from "n1"
    Then the fair tokens are "n1" 100, "n2" 500, "s1" 50 and "s2" 150
