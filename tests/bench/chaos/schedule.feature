Feature: Chaos schedules are drawn from their seed
  The same seed gives the same faults and calls, another one gives others.

  Scenario: A plan is drawn before anything starts
    When the chaos plan of seed 5 is drawn twice
    Then both chaos plans are equal
    And the chaos plan of seed 7 differs, for the same deployment
    And the chaos plan of seed 6 is for the other deployment

  Scenario: All kinds of faults and calls come up
    Then the chaos plans of 40 seeds hold every kind of fault
    And every chaos plan has keyed, unkeyed, repeated and left calls, and jobs
    And no chaos plan lets two endpoints leave
