Feature: A VM's share of the visible VMs

  # Guards against exceeding limits in a data centre that is cut off: a VM that had scheduled
  # nothing first counted the VMs after the cut, and took the remaining ones for all VMs.
  Scenario: The visible share counts VMs from before a network partition
    Given a VM that sees 6 VMs for 60 s without calling its chooser
    When it sees 2 of them
    Then its visible share of VMs is 0.333
    When 16 s pass
    Then its visible share of VMs is 1.000
