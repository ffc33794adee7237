Feature: Expiry in a member that aligns its heartbeats with its neighbours'
  Entries expire even though the member's own heartbeat timer never fires.

  Background:
    Given a member that sends its heartbeats whenever its neighbour does

  # Guards against a dead VM that stays in the view and keeps its slots.
  Scenario: A delegate that falls silent is dropped
    Given "b1" and "b2" are delegates of another data centre until 5000 ms
    And the member sees "b1" at 5000 ms
    When "b1" falls silent and "b2" lists only itself from 6600 ms on
    Then the member does not see "b1" at 8000 ms

  # Guards against live VMs that are dropped at once when their delegate falls silent.
  Scenario: VMs are kept while their delegate changes
    Given "b1" is the only delegate and lists "b1 b2 b3" until 60000 ms
    When "b1" falls silent and "b2" lists only itself from 60500 ms on
    Then the member sees "b3" at 61800 ms
    When "b2" lists "b2 b3" from 61900 ms on
    Then the member sees "b3" at 70000 ms
    And the member does not see "b1" at 70000 ms

  # Guards against an endpoint that stays out of use after its mark was removed.
  Scenario: Marks that are not repeated expire
    Given its neighbour marks "e" as leaving until 5000 ms
    Then the member knows that "e" is leaving at 30000 ms
    And the member does not know that "e" is leaving at 36000 ms
