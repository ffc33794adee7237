Feature: The rate that an endpoint asks for
  An endpoint in need names the requests a second that it takes; it gets them evenly
  spaced, for as long as its answers say so.

  Background:
    Given an objective core with the endpoints
      | endpoint | slots |
      | needy    | 40    |

  Scenario Outline: It gets what it takes, whatever else is free
    When an answer of "needy" names <per_s> requests a second
    And 400 requests wait for <span_ms> ms
    Then "needy" is granted <least> to <most> of them

    Examples:
      | per_s | span_ms | least | most |
      | 1.2   | 10000   | 11    | 12   |
      | 20    | 1000    | 18    | 20   |
      | 0     | 20000   | 3     | 4    |

  Scenario: Its requests come evenly after a calm
    When an answer of "needy" names 8 requests a second
    And 20000 ms pass for the objective core
    And 400 requests wait for 50 ms
    Then "needy" is granted 2 to 2 of them

  Scenario: An answer without a limit ends it
    When an answer of "needy" names 1 requests a second
    And 2000 ms pass for the objective core
    And an answer of "needy" names no limit
    And 30 requests wait for 50 ms
    Then "needy" is granted 30 to 30 of them

  # Answers on different connections overtake each other.
  Scenario: An answer to a request from before it was named does not end it
    When a request is granted on "needy"
    And an answer of "needy" names 1 requests a second
    And that request's answer names no limit
    And 30 requests wait for 50 ms
    Then "needy" is granted 0 to 1 of them

  Scenario: What a gateway has heard earlier changes no newer word
    When an answer of "needy" names 20 requests a second
    And a gateway tells that "needy" named 1 requests a second 500 ms ago
    And 100 requests wait for 1000 ms
    Then "needy" is granted 18 to 20 of them

  Scenario: What a gateway has heard earlier brings no limit back
    When an answer of "needy" names 1 requests a second
    And 2000 ms pass for the objective core
    And an answer of "needy" names no limit
    And a gateway tells that "needy" named 1 requests a second 1900 ms ago
    And 30 requests wait for 50 ms
    Then "needy" is granted 30 to 30 of them

  Scenario: It outlasts a gap in the registry, and not a new start
    When a gateway tells that "needy" named 1 requests a second 500 ms ago
    And the registry loses "needy" for a moment
    And 30 requests wait for 1000 ms
    Then "needy" is granted 1 to 1 of them
    When "needy" starts again
    And 30 requests wait for 50 ms
    Then "needy" is granted 30 to 30 of them

  Scenario: It holds where all endpoints are doubted
    When an answer of "needy" names 1 requests a second
    And "needy" fails 3 times
    And 30 requests wait for 3000 ms
    Then "needy" is granted 1 to 3 of them

  Scenario: What could only be late at that rate is refused with a time to come back
    When an answer of "needy" names 1 requests a second
    And the objective core is given
      | id | rank | objective_ms |
      | r1 | 1    | 9000         |
      | r2 | 1    | 9000         |
      | r3 | 1    | 400          |
    Then "r3" is refused as "deadline_unreachable" with a time to come back

  # A refusal that lacks the header must not open an endpoint in need.
  Scenario Outline: What the header may say
    Then an answer <status> with "Server-Limit: <value>" names <limit>

    Examples:
      | status | value    | limit            |
      | 200    | 1.2      | 1.2              |
      | 503    | 1.2      | 1.2              |
      | 200    | 0        | 0                |
      | 200    |          | no limit         |
      | 503    |          | nothing          |
      | 500    |          | nothing          |
      | 421    | 1.2      | nothing          |
      | 200    | -1       | nothing readable |
      | 200    | nan      | nothing readable |
      | 200    | 1e999    | nothing readable |
      | 200    | 1.2, 1.2 | nothing readable |
