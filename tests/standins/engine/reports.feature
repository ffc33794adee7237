Feature: Load reports and cache events of the engine's stand-in
  Both describe the past, and some events never come.

  Scenario: The load is shown as it was
    Given a stand-in load that lags by 500 ms
    When the stand-in load becomes 3 running at 100 ms
    Then the stand-in load shows 0 running at 599 ms
    And the stand-in load shows 3 running at 600 ms

  Scenario: Events come late, numbered, with gaps
    Given stand-in events that lag by 500 ms with half of them lost
    When 100 stand-in events are recorded at 0 ms
    Then no stand-in events are shown at 499 ms
    And some but not all 100 stand-in events are shown at 500 ms
    And only later stand-in events are shown after one of them
