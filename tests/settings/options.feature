Feature: Options of the serving process
  A wrong option ends the start with one line that names it.

  Scenario: Defaults are filled in
    Given settings flags "vm_id=v1 region=r data_centre=d"
    When the settings options are read
    Then the settings option "port" is "8080"
    And the settings option "platform" is "embedded"
    And the settings option "drain_grace_ms" is "5000"

  Scenario: A flag goes before its variable
    Given settings flags "vm_id=v1 region=r data_centre=d port=9001"
    And the settings variable "POMELOLANE_PORT" is "9002"
    When the settings options are read
    Then the settings option "port" is "9001"

  Scenario: A variable stands in for a flag
    Given settings flags "vm_id=v1 region=r"
    And the settings variable "POMELOLANE_DATA_CENTRE" is "hall-a"
    When the settings options are read
    Then the settings option "data_centre" is "hall-a"

  Scenario: Seeds keep their data centres
    Given settings flags "vm_id=v1 region=r data_centre=d seeds=v2=hall-b=127.0.0.1:7401,v3=hall-c=[::1]:7402"
    When the settings options are read
    Then the settings seed 2 is VM "v3" of "hall-c" at "[::1]:7402"

  Scenario Outline: A wrong value is named with what is allowed
    Given settings flags "vm_id=v1 region=r data_centre=d <flag>"
    When the settings options are read
    Then the settings error names "<name>" and allows "<allowed>"
    And the settings error is one line

    Examples:
      | flag                        | name                | allowed                         |
      | port=70000                  | --port              | from 0 to 65535                 |
      | port=8_080                  | --port              | a whole number                  |
      | port=                       | --port              | a whole number                  |
      | host=localhost              | --host              | an IP number                    |
      | advertise=127.0.0.1         | --advertise         | ip:port                         |
      | advertise=127.0.0.1:0       | --advertise         | ip:port                         |
      | seeds=v2=127.0.0.1:1        | --seeds             | vm=data-centre=ip:port          |
      | seeds=a=d=1.1.1.1:1,a=d=1.1.1.1:2 | --seeds       | each VM once                    |
      | address_map=e1=host:1       | --address-map       | id=ip:port                      |
      | platform=127.0.0.1:1        | --platform          | 'embedded' or an http(s)        |
      | platform=http://example:1   | --platform          | IP number                       |
      | body_timeout_ms=5s          | --body-timeout-ms   | milliseconds from 100           |
      | drain_grace_ms=1.5          | --drain-grace-ms    | milliseconds from 0             |
      | drain_grace_ms=900000       | --drain-grace-ms    | milliseconds from 0 to 600000   |
      | max_body_bytes=1            | --max-body-bytes    | bytes from 1024                 |
      | policy=random               | --policy            | one of pomelolane, round_robin  |
      | log_level=loud              | --log-level         | one of debug                    |
      | public_key_hex=zz           | --public-key-hex    | 64 hex digits                   |
      | vm_id=bad/name              | --vm-id             | letters, digits                 |

  Scenario: A required option is asked for
    Given settings flags "region=r data_centre=d"
    When the settings options are read
    Then the settings error names "--vm-id" and allows "a value is required"

  Scenario: A private key is never shown
    Given settings flags "vm_id=v1 region=r data_centre=d private_key_hex=hunter2"
    When the settings options are read
    Then the settings error names "--private-key-hex" and allows "64 hex digits"
    And the settings error does not hold "hunter2"

  Scenario: A variable that does not exist is refused
    Given settings flags "vm_id=v1 region=r data_centre=d"
    And the settings variable "POMELOLANE_PROT" is "1"
    When the settings options are read
    Then the settings error names "POMELOLANE_PROT" and allows "POMELOLANE_PORT"

  Scenario: The table for the docs holds every option
    Then the settings options table names every option with its variable
