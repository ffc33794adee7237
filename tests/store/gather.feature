Feature: Claims gathered in a data centre
  One VM commits for the others, and nobody depends on it.

  Background:
    Given 4 gathering VMs in one data centre

  Scenario: The claims of all VMs share few commits
    When all gathering VMs claim 50 keys each
    Then all gathered claims are held after at most 4 commits by one VM

  Scenario: Two VMs that claim one key through the gatherer
    When all gathering VMs claim the same key
    Then exactly one gathering VM holds it

  Scenario Outline: A gatherer that fails is passed over
    Given the gatherer <fault>
    When all gathering VMs claim 5 keys each
    Then all gathered claims are held

    Examples:
      | fault                          |
      | hears nothing                  |
      | commits but its answer is lost |
      | loses a commit and a reply     |

  Scenario: A gatherer that alone cannot reach the table holds nobody else up
    Given the gatherer cannot reach the table at all
    When all gathering VMs claim 5 keys each
    Then the gatherer's claims are refused and all others are held

  Scenario: A gatherer that was silent commits what it had when it wakes
    Given the gatherer is frozen
    When all gathering VMs claim the same key
    And the gatherer wakes
    Then exactly one gathering VM holds it

  Scenario: Rows of other kinds are not written for others
    When a VM asks the gatherer to write "settings/branch/x"
    Then no such row is written

  Scenario Outline: Commits are shared out among the gatherers in view
    When the view has <vms> VMs in each of <data_centres> data centres
    Then the gathering VMs commit every <spacing_ms> ms

    Examples:
      | vms | data_centres | spacing_ms |
      | 3   | 3            | 25         |
      | 29  | 14           | 187        |

  Scenario: Whatever is lost, no key is ever held twice
    Then random lost messages and faults never hold a gathered key twice
