@processes
Feature: The settings tree in the platform's own process
  Accepted means in the table, whatever the platform does meanwhile.

  Background:
    Given a settings store on the platform's stand-in

  Scenario: A reply is lost after the change took effect
    Given the settings platform loses the next 1 replies
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change is accepted as version 2
    And the settings history of "fleet" holds versions "2 1"

  Scenario: Two teams change their branches at the same moment
    When settings operators change "fleet" and "quota" from version 1 at the same moment
    Then both settings changes are accepted

  Scenario: A change during an outage is refused whole
    Given the settings platform is in an outage
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change ends as "PlatformUnavailableError"
    When the settings platform is back
    Then the settings branch "fleet" stands at version 1

  Scenario: Every reply is lost
    Given the settings platform loses the next 99 replies
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change ends as "CommitUnknownError"
    And the settings branch "fleet" stands at version 2

  Scenario: A change costs one write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings platform has counted 2 writes
