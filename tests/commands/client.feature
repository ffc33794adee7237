Feature: Client commands against a VM
  They show what the VM answers and change settings by compare-and-set.

  Background:
    Given a command VM with the declarations of fleet and quota

  Scenario: The status as a table
    When the client command "status" is run
    Then the command ends with 0
    And the command prints "VM vm1 of hall-a, region here: ready"
    And the command prints "ready, straggling"
    And the command prints "7/8"

  Scenario: The status as JSON
    When the client command "status --json" is run
    Then the command prints the VM's status report

  Scenario: Equal declarations change nothing
    When the client command "apply {directory} --key-file {keys}" is run
    Then the command ends with 0
    And the command prints "fleet: unchanged"
    And the command VM holds "fleet" at version 1

  Scenario: A dry run shows the difference and changes nothing
    Given in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: 6"
    When the client command "apply {directory} --key-file {keys} --dry-run" is run
    Then the command ends with 0
    And the command prints "~ endpoints[e1].slots: 4 -> 6"
    And the command VM holds "fleet" at version 1

  Scenario: A difference is applied
    Given in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: 6"
    When the client command "apply {directory} --key-file {keys} --note more" is run
    Then the command ends with 0
    And the command prints "fleet: accepted as version 2"
    And the command prints "quota: unchanged"
    And the command VM holds "fleet" at version 2

  Scenario: Nothing is applied of declarations that are wrong
    Given in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: -6"
    When the client command "apply {directory} --key-file {keys}" is run
    Then the command ends with 2
    And the command complains in one line with "fleet/t.yaml:19: endpoints[0].slots: -6 is not allowed"
    And the command VM holds "fleet" at version 1

  Scenario: Shares may move from one team to another in one call
    Given in the command directory "fleet/t.yaml" has "weight: 0.5" replaced by "weight: 0.7"
    And in the command directory "quota/q.yaml" has "weight: 0.5" replaced by "weight: 0.3"
    When the client command "apply {directory} --key-file {keys}" is run
    Then the command ends with 0
    And the command VM holds "fleet" at version 2
    And the command VM holds "quota" at version 2

  Scenario: A new team's branch is made with the platform's key
    Given the command directory gains the team "tags"
    When the client command "apply {directory} --key-file {keys}" is run
    Then the command ends with 0
    And the command prints "tags: accepted as version 1"

  Scenario: An answer that is lost is settled by reading back
    Given in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: 6"
    And the command VM drops the next answer to a change
    When the client command "apply {directory} --key-file {keys}" is run
    Then the command ends with 0
    And the command prints "fleet: accepted as version 2"

  Scenario: Without the team's key a branch stays as it is
    Given in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: 6"
    When the client command "apply {directory}" is run with the operator key of "quota" alone
    Then the command ends with 3
    And the command complains in one line with "no operator's key of team"
    And the command VM holds "fleet" at version 1

  Scenario: Keys are never printed
    Given in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: 6"
    When the client command "apply {directory} --key-file {keys} -vvv" is run
    Then the command prints no operator's key or digest

  Scenario: Versions, history and an earlier content as a new version
    Given in the command directory "fleet/t.yaml" has "slots: 4" replaced by "slots: 6"
    When the client command "apply {directory} --key-file {keys} --note more" is run
    And the client command "settings history fleet --changes --key-file {keys}" is run
    Then the command prints "version 2: more"
    And the command prints "~ endpoints[e1].slots: 4 -> 6"
    When the client command "settings roll-forward fleet 1 --key-file {keys}" is run
    Then the command ends with 0
    And the command prints "~ endpoints[e1].slots: 6 -> 4"
    And the command prints "fleet: accepted as version 3"
    When the client command "settings get --key-file {keys}" is run
    Then the command prints "fleet     3"
    When the client command "settings get fleet --key-file {keys}" is run
    Then the command prints "500"

  Scenario: A version that is not kept
    When the client command "settings roll-forward fleet 9 --key-file {keys}" is run
    Then the command ends with 2
    And the command complains in one line with "one of the kept versions: 1"

  Scenario: A branch that is not there
    When the client command "settings get ghosts --key-file {keys}" is run
    Then the command ends with 3
    And the command complains in one line with "there is no branch 'ghosts'"

  Scenario Outline: Draining a VM or an endpoint
    When the client command "drain <target> --team <team> --key-file {keys}" is run
    Then the command ends with <code>
    And the command VM has drained "<drained>"

    Examples:
      | target | team     | code | drained |
      | vm1    | platform | 0    | vm1     |
      | vm1    | fleet    | 3    |         |
      | e1     | fleet    | 0    | e1      |
      | e1     | quota    | 3    |         |
      | vm2    | platform | 2    |         |
      | ghost  | platform | 2    |         |

  Scenario: A request's answer streams to the standard output
    Given the command VM streams the answer "hello <info>world" whole
    When the client command "request asker hi --work ask --deadline-ms 900" is run
    Then the command ends with 0
    And the command prints "hello <info>world"
    And the command VM saw the header "X-Work" as "ask"
    And the command VM saw the header "X-Deadline-Ms" as "900"

  Scenario: An answer that is cut short is told
    Given the command VM streams the answer "hello" cut short
    When the client command "request asker hi" is run
    Then the command ends with 5
    And the command prints "hello"

  Scenario: An answer that ends with an error event is told
    Given the command VM streams the answer "hello" and a problem "cut_short"
    When the client command "request asker hi" is run
    Then the command ends with 5

  Scenario: A refusal is told with when to come back
    Given the command VM refuses with 503 "not_run" "queue_full"
    When the client command "request asker hi" is run
    Then the command ends with 3
    And the command complains in one line with "come back in 700 ms"

  Scenario Outline: A call whose connection is lost is not repeated
    When the client command "request ledger body --path x --method <method>" is run
    Then the command ends with 5
    And the command VM got 1 call of a plain service

    Examples:
      | method |
      | POST   |
      | PUT    |
      | DELETE |
