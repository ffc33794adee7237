Feature: Rows that other writers left in the metadata store
  A row may lack fields, hold values of other types, name states or services that nobody
  knows, or be no text at all. It says nothing, and all other rows hold.

  Background:
    Given a metadata store and its watches

  Scenario Outline: An entry that cannot be right names no endpoint
    When an endpoint registers as "odd" with <field> <value>
    And an endpoint duly registers as "p2"
    Then the known endpoints become "p1, p2"
    And one entry was rejected in the log

    Examples:
      | field           | value            |
      | address         | "not an address" |
      | address         | "10.0.0.1:99999" |
      | address         | "10.0.0.1"       |
      | address         | 80               |
      | slots           | -3               |
      | slots           | 0                |
      | slots           | "6"              |
      | slots           | true             |
      | state           | "resting"        |
      | state           | null             |
      | service         | "elsewhere"      |
      | service         | missing          |
      | zone            | missing          |
      | version         | 7                |
      | sequence        | "x"              |
      | sequence        | missing          |
      | coldRemainingMs | "soon"           |
      | born            | "yesterday"      |
      | born            | 1.5              |

  # Guards against a VM that knew nothing new of any endpoint any more: a number that could
  # not be converted, or not be sent to other VMs, ended its reads.
  Scenario Outline: A number beyond all bounds rejects its own entry only
    When an endpoint "odd" registers with <digits> digits in its <field>
    And an endpoint duly registers as "p2"
    Then the known endpoints become "p1, p2"
    And one entry was rejected in the log

    Examples:
      | field   | digits |
      | address | 4301   |
      | born    | 30     |
      | slots   | 30     |

  Scenario Outline: Bytes that cannot be read hide no other row
    When somebody writes <value> as the row "odd" of "<table>"
    And an endpoint duly registers as "p2"
    Then the known endpoints become "p1, p2"
    And the store's client still reads "<table>"

    Examples:
      | value           | table   |
      | null            | servers |
      | 17              | servers |
      | "not base64!"   | servers |
      | "e25v"          | servers |
      | null            | vms     |
      | "e25v"          | vms     |
      | null            | uses    |
      | "e25v"          | uses    |

  Scenario: An entry that turns bad is used no more
    When an endpoint duly registers as "p2"
    Then the known endpoints become "p1, p2"
    When somebody writes "e25v" as the row "p2" of "servers"
    Then the known endpoints become "p1"
    When an endpoint duly registers as "p2"
    Then the known endpoints become "p1, p2"

  Scenario: A service that is configured later makes its endpoints usable
    When an endpoint registers as "early" with service "later"
    Then the known endpoints become "p1"
    When the store says version 12 with the service "later"
    Then the known endpoints become "p1, early"

  Scenario: A roster with unreadable rows lists the others
    When somebody writes "e25v" as the row "odd" of "vms"
    And a VM "vm-7" enters the roster
    Then the roster lists "vm-7"

  Scenario: A record of use that cannot be read leaves the others
    When somebody writes "e25v" as the row "portal/odd" of "uses"
    And 5000 tokens of "org" are recorded as used 300 ms ago
    Then the record says 5000 tokens of "org" at least 300 ms ago

  Scenario: Whatever an entry holds is an endpoint or a typed failure
    Then any bytes and any JSON values decode to an endpoint or a document error
