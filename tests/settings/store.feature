Feature: Changes of the settings tree in the table
  A change is one compare-and-set, and accepted means that the table holds it.

  Background:
    Given a settings store with the teams fleet and quota

  Scenario: The first import happens once
    When the settings tree is imported again
    Then the settings import was not needed
    And the settings branch "fleet" stands at version 1

  Scenario: A change becomes the next version and stays in the history
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change is accepted as version 2
    And the settings history of "fleet" holds versions "2 1"
    And the settings counter stands at 2

  Scenario: Two operators change a branch at the same moment
    When settings operators change "fleet" from version 1 at the same moment twice
    Then one settings change is accepted and the other meets version 2

  Scenario: Two teams change their own branches at the same moment
    When settings operators change "fleet" and "quota" from version 1 at the same moment
    Then both settings changes are accepted

  Scenario: Two teams take the same free share at the same moment
    Given settings operator "fleet" lowers the weight of "fleet" to 0.4
    When settings operators raise "fleet" and "quota" by 0.1 at the same moment
    Then one settings change is accepted and the other ends as "InvalidTreeError"

  Scenario: A reply is lost after the change took effect
    Given the settings table loses 1 reply after the write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change is accepted as version 2
    And the settings history of "fleet" holds versions "2 1"

  Scenario: A change is lost before it took effect
    Given the settings table loses 1 write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change is accepted as version 2

  Scenario: A reply is lost and another team changes the tree meanwhile
    Given the settings table loses 1 reply after the write
    And settings operator "quota" changes "quota" right after that write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change is accepted as version 2
    And the settings history of "fleet" holds versions "2 1"

  Scenario: A write is lost and a colleague takes the version meanwhile
    Given the settings table loses 1 write
    And settings operator "fleet" changes "fleet" right after that write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change meets version 2

  Scenario: A write that was held back arrives after its repetition
    Given the settings table holds back 1 write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change is accepted as version 2
    When the write held back arrives in the settings table
    Then the settings branch "fleet" stands at version 2
    And the settings counter stands at 2

  Scenario: A write that was held back arrives before its repetition
    Given the settings table holds back 1 write
    And the write held back arrives at once in the settings table
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change is accepted as version 2
    And the settings counter stands at 2

  Scenario: The table goes silent for good after a change
    Given the settings table loses 99 replies after the write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change ends as "CommitUnknownError"

  Scenario: The table is down
    Given the settings table is down
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change ends as "PlatformUnavailableError"

  Scenario: The table goes down after a reply was lost
    Given the settings table loses 1 reply after the write
    And the settings table goes down after that write
    When settings operator "fleet" changes "fleet" from version 1
    Then the settings change ends as "CommitUnknownError"

  Scenario Outline: Only the team's own operator changes a branch
    When settings operator "<operator>" changes "<branch>" from version 1
    Then the settings change ends as "<error>"
    And the settings branch "<branch>" stands at version 1

    Examples:
      | operator | branch   | error                |
      | quota    | fleet    | ForbiddenBranchError |
      | platform | fleet    | ForbiddenBranchError |
      | fleet    | platform | ForbiddenBranchError |
      | nobody   | fleet    | UnknownOperatorError |

  Scenario: A change that breaks another team's branch is refused whole
    When settings operator "platform" drops the tier "slow"
    Then the settings change ends as "InvalidTreeError"
    And the settings branch "platform" stands at version 1

  Scenario: An earlier content is rolled forward as a new version
    When settings operator "fleet" changes "fleet" from version 1
    And settings operator "fleet" rolls "fleet" forward to version 1
    Then the settings change is accepted as version 3
    And settings version 3 of "fleet" has the content of version 1

  Scenario: The history is bounded
    When settings operator "fleet" changes "fleet" 205 times
    Then the settings history of "fleet" holds 200 versions
