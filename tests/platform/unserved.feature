Feature: VMs that the store turns away learn from those that it serves

  # Guards against keys that had been taken away and routes that were not served for as long
  # as the store turned some VMs away: the VM that reads for the others was one of them.
  Scenario Outline: A configuration reaches VMs that the store turns away
    Given a metadata store and these VMs that watch it
      | VM | data centre  |
      | a  | sala-tampico |
      | b  | sala-tampico |
      | c  | <where>      |
    When "a" and "b" can no longer reach the store
    And the operator says version 5
    Then every VM has version 5 within 2000 ms

    Examples:
      | where         |
      | sala-tampico  |
      | sala-veracruz |

  # Guards against requests to endpoints that had left, for the same reason.
  Scenario Outline: A departure reaches VMs that the store turns away
    Given a metadata store and these VMs that watch it
      | VM | data centre  |
      | a  | sala-tampico |
      | b  | sala-tampico |
      | c  | <where>      |
    When "a" and "b" can no longer reach the store
    And endpoint "p1" is said to be draining
    Then every VM knows within 2000 ms that "p1" is leaving

    Examples:
      | where         |
      | sala-tampico  |
      | sala-veracruz |
