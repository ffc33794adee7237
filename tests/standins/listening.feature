Feature: Ports of the VMs that tests start

  # Guards against a VM that can't start as its port was given to another socket of the
  # run, after the test had given it back.
  Scenario: The kernel hands out no port of a VM
    Given a VM of the users' platform that has not started
    Then the kernel hands out none of its ports by itself
    And no two of its ports are the same
