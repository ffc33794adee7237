Feature: The plain service's stand-in
  It runs whatever it is asked and counts it.

  Background:
    Given a stand-in service

  Scenario: Runs are counted by key
    When the stand-in service is called with key "k" 2 times
    Then the stand-in service counted 2 runs of key "k"

  Scenario: A refused call is not run
    Given the stand-in service's control sets {"refuse": true}
    When the stand-in service is called with key "k" 1 times
    Then the stand-in status is 503
    And the stand-in service counted 0 runs of key "k"
