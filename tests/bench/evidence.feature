Feature: Promises are checked from records
  What callers got and what endpoints ran tell whether the promises held.

  Scenario Outline: Evidence of broken promises is found
    Given evidence of a <kind> call that got <answer>
    And the evidence has <runs> runs of it
    Then the evidence names <faults> broken promises

    Examples:
      | kind       | answer                | runs | faults |
      | single     | its whole answer      | 1    | 0      |
      | single     | its whole answer      | 2    | 1      |
      | repeatable | its whole answer      | 2    | 0      |
      | single     | not_run               | 0    | 0      |
      | single     | not_run               | 1    | 1      |
      | single     | unknown               | 1    | 0      |
      | single     | a foreign answer      | 1    | 1      |
      | single     | a short answer        | 1    | 1      |
      | single     | a short typed answer  | 1    | 0      |
      | single     | nothing at all        | 0    | 1      |

  Scenario: A repeat that was not sent is no false word about the first call
    Given evidence of a single call that got its whole answer
    And the evidence has 1 runs of it
    And evidence of a repeat that got not_run
    Then the evidence names 0 broken promises
