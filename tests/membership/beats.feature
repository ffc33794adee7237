Feature: A member that beats with its neighbours
  What time alone makes overdue is dropped, though the member's own beat is never due.

  Background:
    Given a member that beats whenever its neighbour does

  # Guards against a dead VM that stays in the view and keeps its slots.
  Scenario: A delegate that falls silent is lost
    Given "b1" and "b2" speak for another data centre until 5000 ms
    And the member sees "b1" at 5000 ms
    When "b1" falls silent and "b2" lists itself alone from 6600 ms on
    Then the member does not see "b1" at 8000 ms

  # Guards against live VMs that leave the view at once.
  Scenario: VMs are kept while their delegate changes
    Given "b1" alone speaks for "b1 b2 b3" until 60000 ms
    When "b1" falls silent and "b2" lists itself alone from 60500 ms on
    Then the member sees "b3" at 61800 ms
    When "b2" lists "b2 b3" from 61900 ms on
    Then the member sees "b3" at 70000 ms
    And the member does not see "b1" at 70000 ms

  # Guards against an endpoint that stays out of use after its mark was taken back.
  Scenario: Marks that nobody repeats end
    Given its neighbour marks "e" as leaving until 5000 ms
    Then the member knows that "e" is leaving at 30000 ms
    And the member does not know that "e" is leaving at 36000 ms
