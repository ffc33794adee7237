Feature: Traces of the scenarios
  Every policy meets the same requests.

  Scenario Outline: All scenario files are sound
    Given the bench scenario "<name>"
    When its trace is drawn twice with seed 3
    Then both bench traces are equal and ordered by time
    And the offered load is near the planned one

    Examples:
      | name           |
      | steady         |
      | trawlers       |
      | deadline_night |
      | straggler      |
      | stale          |
      | prefixes       |
      | flood          |

  Scenario: Another seed is another trace
    Given the bench scenario "steady"
    When its trace is drawn with seeds 1 and 2
    Then the bench traces differ

  Scenario: Requests of one family share the beginning of their prompts
    Given the bench scenario "prefixes"
    When its trace is drawn twice with seed 3
    Then prompts of one bench family begin alike and end differently

  Scenario: An unknown scenario is named
    Then reading the bench scenario "nowhere" fails and names "steady"
