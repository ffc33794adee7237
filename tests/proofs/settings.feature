@processes
Feature: Proof that accepted settings hold
  Two operators never half-apply a branch, an accepted version is in force on
  every reachable VM within 9 s, and nothing ever goes back to an older one.

  Background:
    Given a settings proof on 2 VMs in each data centre

  Scenario: Operators race for a branch, also with lost replies
    When two operators race 12 times for the branch "flota", with a lost reply in every third race
    Then each settings race had one winner, and one conflict that told its version
    And the branch "flota" was after each settings race just what its winner wrote
    And the settings history of "flota" holds each winner's version once
    And the settings proof finds "flota" in force on every VM within 9 s
    And the settings proof has seen no version go back

  Scenario: A change is in force everywhere though things break right after it
    When "flota" is changed at "sala-tampico-vm1", and the platform goes away at once
    Then the settings proof finds "flota" in force on every VM within 9 s
    When the settings proof's platform comes back
    And "flota" is changed at "sala-tampico-vm1", and that VM is killed at once
    Then the settings proof finds "flota" in force on every VM within 9 s
    When "flota" is changed at "sala-veracruz-vm1" while "sala-campeche-vm1" is frozen
    Then the settings proof finds "flota" in force on every VM within 9 s
    When the settings proof's frozen VM wakes
    Then the settings proof finds "flota" in force on every VM within 9 s
    When "flota" is changed at "sala-veracruz-vm1" while "sala-campeche" is cut off from the others
    Then the settings proof finds "flota" in force on every VM within 9 s
    When "flota" is changed at "sala-veracruz-vm1" while "sala-campeche" is cut off from all and the platform
    Then the settings proof finds "flota" in force on every VM within 9 s
    When the settings proof heals all links
    Then the settings proof finds "flota" in force on every VM within 9 s
    And the settings proof has seen no version go back

  Scenario: No older version comes back through restarts and late messages
    When "flota" is changed 6 times at VMs in turn while links freeze and thaw, replies get lost and VMs restart
    Then the settings proof finds "flota" in force on every VM within 9 s
    And the settings proof has seen no version go back

  Scenario: A VM that starts without the platform takes the tree from its peers
    When "flota" is changed at "sala-tampico-vm1", and the platform goes away at once
    Then the settings proof finds "flota" in force on every VM within 9 s
    When the settings proof restarts "sala-campeche-vm2"
    And the settings proof restarts "sala-tampico-vm1"
    Then the settings proof finds "flota" in force on every VM within 9 s
    When the settings proof starts "sala-veracruz-vm2" with neither platform nor peers
    Then that VM is not ready and holds no settings
    When the settings proof heals all links
    Then the settings proof finds "flota" in force on every VM within 9 s
    And the settings proof has seen no version go back
