Feature: The command line
  Each command ends with a documented exit code and one line an error.

  Scenario: The version is printed
    When the command "--version" is run
    Then the command ends with 0
    And the command prints "0.1.0"

  Scenario Outline: Each command explains itself
    When the command "<name> --help" is run
    Then the command ends with 0
    And the command prints "Exit codes:"
    And the command prints "<text>"

    Examples:
      | name                  | text                       |
      | serve                 | POMELOLANE_PEER_PORT       |
      | check                 | declarations               |
      | status                | --json                     |
      | apply                 | --dry-run                  |
      | settings get          | versions of all            |
      | settings history      | newest first               |
      | settings roll-forward | compare-and-set            |
      | request               | --idempotency-key          |
      | drain                 | marked as leaving          |
      | events                | --markdown                 |
      | options               | --markdown                 |

  Scenario: Every option of serve is a flag of check
    When the command "check --help" is run
    Then the command prints every flag of serve

  Scenario Outline: A wrong call is one line and exit code 2
    When the command "<call>" is run
    Then the command ends with 2
    And the command complains in one line with "<complaint>"

    Examples:
      | call                                                        | complaint               |
      | nonsense                                                    | nonsense                |
      | status --nonsense                                           | nonsense                |
      | serve --region r --data-centre d                            | --vm-id                 |
      | serve --vm-id a --region r --data-centre d --port 99999     | from 0 to 65535         |
      | check --vm-id a --region r --data-centre d --policy luck    | one of pomelolane       |
      | check --vm-id a --region r --data-centre d --tree /nowhere  | a directory of teams    |
      | check --vm-id a --region r --data-centre d --tree examples/comision | golfo-norte     |
      | status --url 127.0.0.1:1                                    | http(s)://              |
      | status --timeout-s 0                                        | from 1 to               |
      | settings get --key-file /nowhere                            | a JSON file             |
      | request bitacora hello                                      | POMELOLANE_KEY          |

  Scenario: Right settings and declarations are told
    When the command "check --vm-id a --region golfo-norte --data-centre d --tree examples/comision" is run
    Then the command ends with 0
    And the command prints "settings of VM a are right"
    And the command prints "8 endpoints"

  Scenario: Declarations are checked alone
    When the command "check --tree examples/cedarline" is run
    Then the command ends with 0
    And the command prints "bc-west"

  Scenario: A VM that is not there
    When the command "status --url http://127.0.0.1:1" is run
    Then the command ends with 4
    And the command complains in one line with "no answer from http://127.0.0.1:1"

  Scenario: The catalogue of events as a page
    When the command "events --markdown" is run
    Then the command ends with 0
    And the command prints every event's number, name and fields

  Scenario: The table of options as a page
    When the command "options --markdown" is run
    Then the command ends with 0
    And the command prints "| `--port` | `POMELOLANE_PORT` |"
