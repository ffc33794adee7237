Feature: Where streams began is known after all VMs have ended at once

  Background:
    Given 6 VMs in 3 data centres
    When VM 1 begins 50 streams

  # Guards against take-ups that are all refused after all VMs have ended.
  Scenario: What was saved is found by each VM that starts
    When VM 1 saves its streams
    And all VMs end and VM 3 starts
    Then each other VM finds all of them

  Scenario: What was not saved is not known
    When all VMs end and VM 2 starts
    Then VM 2 finds nothing within 300 ms

  # Guards against a first save of a new start that replaces what others have yet to load.
  Scenario: What an earlier start has saved stays
    When VM 1 saves its streams
    And all VMs end and VM 1 starts
    And VM 1 begins another stream
    And VM 1 saves its streams
    And all VMs end and VM 3 starts
    Then each other VM finds all of them

  # Guards against a store call for each period in which nothing has begun.
  Scenario: Streams are saved once
    When VM 1 saves its streams
    And VM 1 saves its streams
    Then VM 1 has saved 1 time

  # Guards against one of two origins that different VMs have saved for an id.
  Scenario: A stream with two origins is not known
    When VM 1 saves its streams
    And VM 2 has saved another origin for them
    And all VMs end and VM 2 starts
    Then VM 2 finds nothing within 300 ms

  # Guards against one row that hides all others, and against records that never expire.
  Scenario: Rows that cannot be read, have expired or lie far ahead
    When VM 1 saves a stream in the store for 15000, 1 and 90000 ms
    And another row cannot be read and 5 ms pass
    Then those for 14995 and 30000 ms are loaded
