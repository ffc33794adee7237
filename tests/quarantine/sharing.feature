Feature: VMs share what they find out on ends of endpoints
  Each tells all others itself, and writes it to a record for those that it does not
  reach and those that start later.

  Background:
    Given a metadata store and the VMs "a", "b" and "c" with a quarantine each

  Scenario: What one VM finds out is known to the others, also without the store
    Given the store answers nothing
    When "a" finds that endpoints ended under "guilty" 3 times
    Then "b" and "c" blame "guilty" within 1 s

  Scenario: Each VM has seen a part
    When "a" finds that endpoints ended under "guilty" 2 times
    And "b" finds that another endpoint ended under "guilty"
    Then "a" and "c" blame "guilty" within 1 s

  Scenario: A message is lost
    Given the store answers nothing
    And the messages of the next 500 ms are lost
    When "a" finds that endpoints ended under "guilty" 3 times
    Then "b" and "c" blame "guilty" within 2 s

  Scenario: A VM that none of the others reaches reads the record
    Given "c" is cut off from the other VMs
    When "a" finds that endpoints ended under "guilty" 3 times
    Then "c" and "b" blame "guilty" within 2 s

  Scenario: The VM that reads for its data centre passes on what it reads
    Given "a" is cut off from the other VMs
    When "a" finds that endpoints ended under "guilty" 3 times
    Then "b" and "c" blame "guilty" within 2 s

  Scenario: The store is away for a while
    Given the store answers nothing
    And "c" is cut off from the other VMs
    When "a" finds that endpoints ended under "guilty" 3 times
    And the store answers again
    Then "b" and "c" blame "guilty" within 3 s

  Scenario: A VM starts after all others have gone
    When "a" finds that endpoints ended under "guilty" 3 times
    And "b" and "c" have heard of it, and all VMs end
    And the VM "d" starts with a quarantine
    Then "d" holds "guilty" as soon as it has read the record

  Scenario: A VM comes into view
    Given the store answers nothing
    And "c" is cut off from the other VMs
    When "a" finds that endpoints ended under "guilty" 3 times
    And "c" comes into view again after 2 s
    Then "c" and "b" blame "guilty" within 1 s

  Scenario: An answer clears everywhere
    When "a" finds that endpoints ended under "common" 2 times
    And "b" and "c" have heard of it
    And "b" sees an answer to "common"
    And "a" finds that another endpoint ended under "common"
    And 1000 ms go by
    Then nobody holds "common"
    And the record holds 1 report

  Scenario: Rows that cannot be read are passed over
    When somebody writes a report that cannot be read
    And "a" finds that endpoints ended under "guilty" 3 times
    And "b" and "c" have heard of it, and all VMs end
    And the VM "d" starts with a quarantine
    Then "d" holds "guilty" as soon as it has read the record

  Scenario Outline: The record in the platform's table says the same
    Given a record in the platform's table
    When 3 reports are written there, one of them <change>
    Then the record there holds <count> reports, <cleared> of them were taken out

    Examples:
      | change                   | count | cleared |
      | again                    | 3     | 0        |
      | and taken out later      | 2     | 1        |
      | beside an unreadable row | 3     | 0        |
