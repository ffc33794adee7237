Feature: Long prompts on engines with concurrent streams
  Load: engines read prompts of several thousand tokens while they serve streams that may
  pause for 150 to 400 ms, and stop every stream while they read a chunk. A prompt that
  would stall the streams waits, or goes to another engine.

  With seeds 10 and 6 this raises the score by 0.09 and 0.07 over placement without
  regard to streams; the bounds are about half of that.

  Scenario Outline: Not stalling streams raises the score
    When a day of load drawn from seed <seed> is simulated
    And it is simulated again with "gap_share" at 100
    Then the first run scores at least <more> more

    Examples:
      | seed | more |
      | 10   | 0.04 |
      | 6    | 0.03 |
