Feature: What a stopping VM still takes
  Only what surely ends in time, whatever its length is said to be.

  Scenario Outline: A request is taken if its whole time fits
    Given a forwarder that stops in 4800 ms
    Then a request of <limit_ms> ms is <taken>

    Examples:
      | limit_ms | taken   |
      | 1200     | taken   |
      | 12000    | refused |
