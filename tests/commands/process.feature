@processes
Feature: Client commands against a VM's process
  The settings interface is served and the stop is graceful.

  Scenario: Declarations are applied, rolled forward, and the VM stops
    Given a command VM process with the declarations of fleet and quota
    And in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: 6"
    When the client command "apply {directory} --key-file {keys}" is run
    Then the command ends with 0
    And the command prints "fleet: accepted as version 2"
    When the client command "apply {directory} --key-file {keys}" is run
    Then the command prints "fleet: unchanged"
    When the client command "settings roll-forward fleet 1 --key-file {keys}" is run
    Then the command prints "fleet: accepted as version 3"
    When the client command "settings get fleet" is run with the operator key of "quota" alone
    Then the command ends with 3
    And the command VM process logs no operator's key or digest
    When the command VM process gets SIGTERM
    Then the command VM process ends with 0
