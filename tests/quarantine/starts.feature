Feature: Which crashes belong to one start of an endpoint that does not state its start
  Seen: a harmless request was refused after one outage of two endpoints. Where a 10 s
  boundary of the wall clock fell between two failures, the outage counted as two crashes.

  Background:
    Given a metadata store and the VMs "a", "b" and "c" with a quarantine each
    And nothing listens at an endpoint that does not state its start

  Scenario: A boundary of the wall clock between two failures at one VM
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And "a" has "harmless" fail there at 10.1 s of its wall clock
    Then one crash of it is known to "a" and "b"

  Scenario: Two VMs report one outage on either side of a boundary
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And "a" and "b" have heard of it
    And "b" has "harmless" fail there at 10.1 s of its wall clock
    Then one crash of it is known to "a" and "c"

  Scenario: Two VMs report one outage before they have heard of each other
    Given the messages of the next 500 ms are lost
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And "b" has "harmless" fail there at 10.1 s of its wall clock
    And 1500 ms go by
    Then one crash of it is known to "a" and "b"
    When "a" and "b" have heard of it, and all VMs end
    And the VM "d" starts with a quarantine
    Then one crash of it is known to "d"
