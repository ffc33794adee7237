Feature: A VM tells its own cut from failures of endpoints

  # Guards against a belief in a cut where only other data centres are out of reach.
  Scenario Outline: The VM is cut off only if no endpoint can be reached
    Given a VM that knows 12 endpoints, of which <reached> can be reached
    When a connection to an endpoint fails
    Then the VM is <state>

    Examples:
      | reached | state       |
      | 6       | not cut off |
      | 2       | not cut off |
      | 0       | cut off     |

  Scenario: A VM without endpoints is not cut off
    Given a VM that knows 0 endpoints, of which 0 can be reached
    When a connection to an endpoint fails
    Then the VM is not cut off

  Scenario: The cut ends with the first endpoint that is reached
    Given a VM that knows 12 endpoints, of which 0 can be reached
    When a connection to an endpoint fails
    And all endpoints can be reached again
    Then the VM is not cut off

  Scenario Outline: Silence is a doubt only while requests are out
    Given a VM that knows 12 endpoints, of which 0 can be reached
    And it has <requests> requests out
    When all endpoints are silent for <silent_ms> ms
    Then the VM is <state>

    Examples:
      | requests | silent_ms | state       |
      | 1        | 600       | cut off     |
      | 1        | 400       | not cut off |
      | 0        | 5000      | not cut off |

  Scenario: Requests are relayed to able VMs of the data centre first
    Given the VMs
      | vm | data centre | ready | draining |
      | a1 | a           | yes   | no       |
      | a2 | a           | yes   | no       |
      | a3 | a           | no    | no       |
      | a4 | a           | yes   | yes      |
      | b1 | b           | yes   | no       |
    Then "a1" relays a request to "a2", then to "b1", then to nobody
    And after "a2" could not serve it, "a1" relays to "b1" for 1000 ms
