Feature: VMs that the store turns away learn from those that it serves

  # Guards against 404 and 401 for routes and keys that were there: a VM that had heard
  # nothing for longer than a configuration may take refused by the one it knew.
  @processes
  Scenario: A VM that hears nothing refuses nobody for good by what it knew
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
    And a platform VM
    When a caller sends "GET /nowhere/"
    Then the answer is 404
    When the store falls silent for 2600 ms
    And a caller sends "GET /nowhere/"
    Then the answer is 503, "configuration_unconfirmed", with a time to come back
    When a stranger sends "GET /plain/a" to host "shop.example" with the key "unknown"
    Then the answer is 503, "configuration_unconfirmed", with a time to come back
    When a caller sends "GET /plain/a"
    Then the answer is 200 and the endpoint's own

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
