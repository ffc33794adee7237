@processes
Feature: A whole deployment as processes
  Tests, bench and demo start the same real processes.

  Scenario: A cluster serves, is cut and heals, and leaves nothing behind
    Given a bench cluster of "comision" with 1 VM in each data centre and faults
    When the bench caller asks every VM of the cluster for an entry check
    Then all bench answers are whole
    When the bench cuts "sala-tampico" off from "sala-veracruz" and from the platform
    And the bench heals all links
    And the bench restarts the VM "sala-veracruz-vm1"
    And the bench caller asks every VM of the cluster for an entry check
    Then all bench answers are whole
    When the bench cluster is stopped
    Then no process of the bench cluster is left

  Scenario: A deployment that does not exist starts nothing
    Then starting a bench cluster of "nowhere" fails

  Scenario: A short experiment prints its plain lines
    When "python -m bench --smoke --scenario steady --vms 1 --policies pomelolane" is run
    Then its last line begins with "bench scenario=steady policy=pomelolane goodput_top="

  Scenario: A short demo ends without an error
    When "python -m bench.demo --seconds 2 --vms 1" is run
    Then its last line begins with "errors: 0 of"

  Scenario: The demo of the users' platform answers everything
    When "python -m bench.demo_platform --seconds 2" is run
    Then its last line begins with "errors: 0 of"

  Scenario Outline: Ctrl-C ends all that was started
    Given "python -m <command>" is started and has its processes running
    When it gets an interrupt from the terminal
    Then it and all its processes are gone

    Examples:
      | command                                                                |
      | bench.demo --seconds 60 --vms 1                                        |
      | bench --scenario steady --vms 1 --policies pomelolane --side-by-side 1 |
