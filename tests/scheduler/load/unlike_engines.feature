Feature: Engines three times slower than the others
  Load: a third of the engines takes three times as long for everything, which their
  declarations do not say. Their speed is learnt from the time to first byte.

  With seeds 10 and 6 this raises the score by 0.11 and 0.10 over fixed speeds; the
  bounds are half of that.

  Scenario Outline: Learnt speeds raise the score
    When a day of load drawn from seed <seed> is simulated
    And it is simulated again with "speed_step" at 0
    Then the first run scores at least <more> more

    Examples:
      | seed | more |
      | 10   | 0.05 |
      | 6    | 0.05 |
