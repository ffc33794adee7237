Feature: Child processes of a cluster
  No child outlives the bench, and every failure to start is told.

  Scenario: A child gets ready and is ended
    Given a bench child that says ready and waits
    When the bench awaits its ready line
    Then the bench child is alive
    When the bench kills the child
    Then the bench child is gone

  Scenario: A frozen child can be ended
    Given a bench child that says ready and waits
    When the bench awaits its ready line
    And the bench freezes and kills the child
    Then the bench child is gone

  Scenario: A child that fails at start is told with its log
    Given a bench child that prints "no such flag" and ends
    Then awaiting its ready line fails with "no such flag"

  Scenario: Children end with a launcher that was killed
    Given a launcher process with a bench child of its own
    When the launcher process is killed
    Then the launcher's bench child ends

  Scenario: Two clusters are given different ports
    When two bench port blocks take 20 ports each
    Then all 40 bench ports differ
