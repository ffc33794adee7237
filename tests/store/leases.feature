Feature: Leases with fencing numbers
  Two VMs never both believe that they hold a lease, whichever is paused.

  Background:
    Given lease VMs "a" and "b" with leases of 100 ms and pauses of 300 ms

  Scenario: One holder at a time
    When lease VM "a" acquires
    Then lease VM "a" holds it with fencing 1
    When lease VM "b" acquires
    Then lease VM "b" holds nothing

  Scenario: A lapsed lease goes on with a higher number, once it was seen to lapse
    When lease VM "a" acquires
    And lease VM "b" acquires
    And 99 ms pass for the lease
    And lease VM "b" acquires
    Then lease VM "b" holds nothing
    When 2 ms pass for the lease
    And lease VM "b" acquires
    Then lease VM "b" holds it with fencing 2
    And lease VM "a" finds that it lost it

  Scenario: A renewed lease does not lapse
    When lease VM "a" acquires
    And lease VM "b" acquires
    And 60 ms pass for the lease
    And lease VM "a" renews
    And 60 ms pass for the lease
    And lease VM "b" acquires
    Then lease VM "b" holds nothing
    And lease VM "a" holds it with fencing 1

  Scenario: The time of a lease counts from before it was written
    Given the lease table takes 40 ms to answer
    When lease VM "a" acquires
    And 61 ms pass for the lease
    Then lease VM "a" finds that it lost it

  Scenario: A paused holder that wakes cannot renew
    When lease VM "a" acquires
    And 150 ms pass for the lease
    Then lease VM "a" finds that it lost it when it renews

  Scenario: A holder displaced before it renews learns it
    When lease VM "a" acquires
    And lease VM "b" takes the lease behind the back of "a"
    Then lease VM "a" finds that it lost it when it renews

  Scenario: A successor of a lapsed lease waits the longest pause out
    When lease VM "a" acquires
    And lease VM "b" acquires
    And 101 ms pass for the lease
    And lease VM "b" acquires
    Then lease VM "b" may order without fencing after 299 ms

  Scenario: A lease given back goes on at once
    When lease VM "a" acquires
    And lease VM "a" releases
    And lease VM "b" acquires
    Then lease VM "b" holds it with fencing 2
    And lease VM "b" may order without fencing after 0 ms

  Scenario Outline: A lost reply is settled by reading back
    Given the lease table's next commits go "<faults>"
    When lease VM "a" acquires
    Then lease VM "a" holds it with fencing 1

    Examples:
      | faults                |
      | lost_reply            |
      | lost_write            |
      | lost_write lost_reply |

  Scenario: A lease in doubt is not held
    Given the lease table's next commits go "lost_write lost_write lost_write"
    When lease VM "a" acquires
    Then lease VM "a" does not know whether it holds it
