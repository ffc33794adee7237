Feature: Configurations that change in series leave room on a VM's link

  # Guards against links full of configurations, which made versions and everything else
  # late: the VM that reads for the others sent them each large version of a series.
  Scenario: A series of large configurations takes half of a link
    Given a metadata store and 6 VMs of one data centre, with links of 2 Mbit/s
    When the operator says 30 versions with 400 more routes, one per 100 ms
    Then at most 60 percent of a link of 2 Mbit/s went to them meanwhile
    And every VM has version 34 within 2000 ms

  # Guards against the same where already one version takes too long for all of them.
  Scenario: A configuration too large for the link is read by each VM
    Given a metadata store and 6 VMs of one data centre, with links of 1 Mbit/s
    When the operator says version 5 with 400 more routes
    Then every VM has version 5 within 2000 ms
    And "vm-5" has read the operator's table whole
