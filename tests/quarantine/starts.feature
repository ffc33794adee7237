Feature: Which crashes belong to one start of an endpoint that does not state its start
  Seen: a harmless request was refused after one outage of two endpoints. Where a 10 s
  boundary of the wall clock fell between two failures, the outage counted as two crashes.

  Background:
    Given a metadata store and the VMs "a", "b" and "c" with a quarantine each
    And nothing listens at an endpoint that does not state its start

  Scenario: A boundary of the wall clock between two failures at one VM
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And "a" has "harmless" fail there at 10.1 s of its wall clock
    Then one crash of it is known to "a" and "b"

  Scenario: Two VMs report one outage on either side of a boundary
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And "a" and "b" have heard of it
    And "b" has "harmless" fail there at 10.1 s of its wall clock
    Then one crash of it is known to "a" and "c"

  Scenario: Two VMs report one outage before they have heard of each other
    Given the messages of the next 500 ms are lost
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And "b" has "harmless" fail there at 10.1 s of its wall clock
    And 1500 ms go by
    Then one crash of it is known to "a" and "b"
    When "a" and "b" have heard of it, and all VMs end
    And the VM "d" starts with a quarantine
    Then one crash of it is known to "d"

  Scenario Outline: A start without a time lasts 10 s from its first crash
    When crashes at <at_s> s of the wall clock are heard in any order
    Then they are <count> starts, and no order makes another number of them

    Examples:
      | at_s            | count | why                                                |
      | 9.9, 10.1       | 1     | a boundary is between them                         |
      | 0.1, 9.9        | 1     | they are in one interval                           |
      | 0.1, 9.9, 10.0  | 1     | both follow the first within 10 s                  |
      | 9.9, 10.1, 19.9 | 2     | the last is in an interval that has a name already |
      | 5.0, 15.0       | 2     | 10 s lie between them                              |
      | 0.0, 9.0, 18.0  | 2     | the first counts, not the one before               |

  # A crash named by another VM must not count again for a request that was answered.
  Scenario: An answer clears a crash under all its names
    Given the messages of the next 500 ms are lost
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And "a" sees an answer to "harmless"
    And "b" has "harmless" fail there at 10.1 s of its wall clock
    And "b" finds that endpoints ended under "harmless" 1 times
    And 1500 ms go by
    Then one crash of it is known to "a" and "b"

  Scenario: A crash is cleared before it is known that its names are of one start
    When "harmless" is cleared of a crash, which is then reported under another name
    And "other" is reported under the first name
    Then no crash counts against "harmless"

  # Reports that only VMs of the previous version make still count by the wall clock.
  Scenario: A VM of the previous version reports the same outage
    When "a" has "harmless" fail there at 9.9 s of its wall clock
    And a VM of the previous version reports "harmless" there at 10.1 s of its wall clock
    Then one crash of it is known to "a"

  Scenario: Reports and rows pass between this version and the previous one
    Then the previous version reads reports and rows of an endpoint without a start time
    And reports and rows of the previous version are read
