Feature: Rate limits that endpoints announce
  A strained endpoint announces in its answers how many requests per second it accepts.
  It gets them evenly spaced until an answer no longer announces a limit.

  Background:
    Given an objective core with the endpoints
      | endpoint | slots |
      | needy    | 40    |

  Scenario Outline: It gets no more than its limit, whatever slots are free
    When an answer of "needy" announces a limit of <per_s> requests per second
    And 400 requests wait for <span_ms> ms
    Then "needy" is granted <least> to <most> of them

    Examples:
      | per_s | span_ms | least | most |
      | 1.2   | 10000   | 11    | 12   |
      | 20    | 1000    | 18    | 20   |
      | 0     | 20000   | 3     | 4    |

  Scenario: An idle period allows no large burst
    When an answer of "needy" announces a limit of 8 requests per second
    And 20000 ms pass for the objective core
    And 400 requests wait for 50 ms
    Then "needy" is granted 2 to 2 of them

  Scenario: An answer without a limit removes the limit
    When an answer of "needy" announces a limit of 1 requests per second
    And 2000 ms pass for the objective core
    And an answer of "needy" announces no limit
    And 30 requests wait for 50 ms
    Then "needy" is granted 30 to 30 of them

  # Answers on different connections overtake each other.
  Scenario: An answer to a request from before the announcement keeps the limit
    When a request is granted on "needy"
    And an answer of "needy" announces a limit of 1 requests per second
    And that request's answer announces no limit
    And 30 requests wait for 50 ms
    Then "needy" is granted 0 to 1 of them

  Scenario: An older report of a gateway does not replace a newer limit
    When an answer of "needy" announces a limit of 20 requests per second
    And a gateway reports a limit of 1 requests per second from "needy", 500 ms old
    And 100 requests wait for 1000 ms
    Then "needy" is granted 18 to 20 of them

  Scenario: An older report of a gateway does not restore a removed limit
    When an answer of "needy" announces a limit of 1 requests per second
    And 2000 ms pass for the objective core
    And an answer of "needy" announces no limit
    And a gateway reports a limit of 1 requests per second from "needy", 1900 ms old
    And 30 requests wait for 50 ms
    Then "needy" is granted 30 to 30 of them

  Scenario: The limit survives a gap in the registry, but not a restart
    When a gateway reports a limit of 1 requests per second from "needy", 500 ms old
    And the registry briefly loses "needy"
    And 30 requests wait for 1000 ms
    Then "needy" is granted 1 to 1 of them
    When "needy" restarts
    And 30 requests wait for 50 ms
    Then "needy" is granted 30 to 30 of them

  Scenario: The limit applies even if all endpoints are suspended
    When an answer of "needy" announces a limit of 1 requests per second
    And "needy" fails 3 times
    And 30 requests wait for 3000 ms
    Then "needy" is granted 1 to 3 of them

  Scenario: A request that could only be late at that rate is refused
    When an answer of "needy" announces a limit of 1 requests per second
    And the objective core receives the requests
      | id | rank | objective_ms |
      | r1 | 1    | 9000         |
      | r2 | 1    | 9000         |
      | r3 | 1    | 400          |
    Then "r3" is refused as "deadline_unreachable" with a retry delay

  # A refusal without the header must not remove the limit of a strained endpoint.
  Scenario Outline: Values of the header
    Then an answer <status> with "Server-Limit: <value>" announces <limit>

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
