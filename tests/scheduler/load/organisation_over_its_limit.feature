Feature: An organisation far over its limit
  Load: for 8 s, one organisation asks four times its limit, with requests of unequal sizes
  and ranks; another one stays below its limit. With a sliding window alone, the first used
  the sum of 8 s in two seconds and was then refused everything. With a bucket that refuses
  at once, small requests found tokens, and large and urgent ones did not.

  Scenario Outline: It is served evenly up to its limit
    Given organisations paced at 8000 tokens a second and 4000 at once
    When one of them asks four times its limit for 8 s, drawn from seed <seed>
    Then it passes no more than rate and burst in any second
    And after the first second it passes at least 0.9 of its rate in each
    And urgent ranks are served most, and large requests 0.8 as often as small
    And all 8 s hold at most 0 tokens more than rate and burst
    And the other organisation is served as without it

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: The bound holds when the core is replaced by one that gets the recorded usage
    Given organisations paced at 8000 tokens a second and 4000 at once
    When it asks so, drawn from seed 1, and the core is replaced after 4 s
    Then it passes no more than rate and burst in any second
    And all 8 s hold at most 1000 tokens more than rate and burst
