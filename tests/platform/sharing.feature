Feature: One VM of a data centre reads the endpoints for the others
  The others read themselves as soon as they hear nothing, or something is missing.

  Background:
    Given a metadata store and the VMs "a" and "b" of one data centre that watch it

  Scenario: What one VM reads comes into force on the other
    When endpoint "p1" is said to be draining
    Then every VM knows within 1500 ms that "p1" is leaving
    And in the next 2500 ms "b" makes no call and "a" makes at least 2

  Scenario: A VM that hears nothing reads the table itself
    When messages between the VMs are lost
    And endpoint "p1" is said to be draining
    Then every VM knows within 2000 ms that "p1" is leaving

  Scenario: A reader that stops hands the reads to another VM
    When "a" is draining
    Then in the next 2500 ms "a" makes no call and "b" makes at least 2

  Scenario: A VM that has lost an endpoint which the reader still has reads the table anew
    When "b" alone takes "p1" for gone
    Then every VM knows "p1" within 2500 ms

  Scenario: Changes behind a gap are not taken
    When "b" hears of changes that begin behind what it has read
    Then "b" has taken none of them
