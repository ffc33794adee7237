Feature: VMs tell each other where streams began

  Background:
    Given 6 VMs in 3 data centres

  Scenario: Any other VM finds a stream that one has begun
    When VM 1 begins 50 streams
    Then each other VM finds all of them
    And each was told to 2 VMs, in 2 data centres

  # Guards against records that end with the VM that made them.
  Scenario Outline: A stream is found after its VM has ended
    When VM 1 begins 50 streams
    And <ended> end
    Then each other VM finds all of them

    Examples:
      | ended                     |
      | VM 1                      |
      | VM 1 and its data centre  |

  # Guards against records that are lost when VMs stop and start in turn.
  Scenario: A stream that is still open is told to those that take the place of holders
    When VM 1 begins 50 streams
    And the VMs 2 to 6 end and start again in turn
    And VM 1 ends
    Then each other VM finds all of them

  Scenario: A stream is told again only while it is open
    When VM 1 begins 50 streams
    And VM 1 ends all of them
    And the VMs 2 to 6 end and start again in turn
    Then nothing more was told of them

  # Guards against take-ups that wait for VMs which do not answer.
  Scenario: A question ends in time when others are silent
    When VM 1 begins 1 stream
    And all VMs but 2 are silent
    Then VM 2 finds nothing within 300 ms

  Scenario: An unknown stream is told as soon as all have answered
    Then VM 2 finds nothing within 100 ms

  # Guards against a stream that a caller of another organisation gets to know of.
  Scenario: Streams of another organisation are others
    When VM 1 begins 1 stream
    Then VM 2 finds nothing for the same attempt of another organisation
