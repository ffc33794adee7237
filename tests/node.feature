Feature: A VM's life
  A planned stop ends, also where nobody is left to take a role over.

  @processes
  Scenario: All VMs are stopped at one time
    Given a cluster of one VM in each data centre with no open request
    When all its VMs are told to stop together
    Then each of its VMs exits with 0
