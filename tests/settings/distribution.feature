Feature: Distribution of settings
  A committed branch is in force on every reachable VM, and never an older one.

  Scenario: A change made through one VM reaches all of them
    Given settings on a region of 3 data centres with 3 VMs each
    When version 1 of branch "team-a" is committed and offered through "c3"
    Then version 1 of branch "team-a" is in force on all VMs

  Scenario: A change whose VM died after the commit is found by the delegates
    Given settings on a region of 2 data centres with 3 VMs each
    When version 1 of branch "team-a" is committed and offered to nobody
    Then version 1 of branch "team-a" is in force on all VMs

  Scenario: A change spreads though the platform is away right after the commit
    Given settings on a region of 2 data centres with 2 VMs each
    When version 1 of branch "team-a" is committed and the platform goes away
    And "b1" offers it
    Then version 1 of branch "team-a" is in force on all VMs

  Scenario: A VM that starts without the platform takes the tree from its peers
    Given settings on a region of 2 data centres with 2 VMs each
    And version 3 of branch "team-a" is in force everywhere
    When the platform goes away
    And the settings VM "a1" is killed and starts again
    Then version 3 of branch "team-a" is in force on all VMs
    And "a1" was told of "team-a" only in version 3

  Scenario: A VM that starts with neither platform nor peers is not in sync
    Given a lone settings VM without the platform
    When its settings are polled and 20 ticks of 100 ms pass
    Then its settings are not in sync and nothing is in force

  Scenario: A cut-off data centre catches up when it heals
    Given settings on a region of 2 data centres with 2 VMs each
    And version 1 of branch "team-a" is in force everywhere
    When "dca" is cut from "dcb" and from the platform
    And version 2 of branch "team-a" is committed and offered through "b2"
    And the data centres are joined again, but not the platform
    Then version 2 of branch "team-a" is in force on all VMs
    And no VM was told of an older version after a newer one

  Scenario: An older version never replaces a newer one
    Given a lone settings VM with branch "team-a" in version 5
    When another VM sends version 4 of branch "team-a"
    And another VM sends version 5 of branch "team-a"
    Then its settings hold version 5 of branch "team-a" as first told

  Scenario: What is missing is asked for, of another holder each time
    Given a lone settings VM with branch "team-a" in version 5
    When two others say that they have version 6 of branch "team-a"
    Then it asks nobody within 100 ms
    And it asks both in turn within 700 ms

  Scenario: Only delegates read the change counter
    Given settings on a region of 1 data centre with 4 VMs each
    And version 1 of branch "team-a" is in force everywhere
    When the delegates have polled 6 more times
    Then no other VM has read the platform meanwhile

  Scenario: A starting VM listens long enough to hear of the highest version
    Given a lone settings VM without the platform
    When one other says that it has version 1 of branch "team-a" and sends it
    And 500 ms pass for the lone VM
    Then its settings are not in sync and nothing is in force
    When a second one says that it has version 2 of branch "team-a" and sends it
    And 300 ms pass for the lone VM
    Then its settings hold version 2 of branch "team-a" as first told
