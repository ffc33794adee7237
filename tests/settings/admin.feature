Feature: The operators' settings interface
  Each answer has a status, and each refusal a typed reason.

  Background:
    Given a settings store with the teams fleet and quota

  Scenario: A branch is read with its version
    When settings "GET" of branch "fleet" is asked with the key of "fleet"
    Then the settings answer is 200 with ETag "1"

  Scenario: The index names all versions
    When settings "INDEX" of all is asked with the key of "quota"
    Then the settings answer is 200
    And the settings answer holds "fleet"

  Scenario: The history is read
    When settings "HISTORY" of branch "fleet" is asked with the key of "fleet"
    Then the settings answer is 200
    And the settings answer holds "first import"

  Scenario: A change is accepted
    When settings "PUT" with If-Match "1" alone of "fleet" is asked with the key of "fleet"
    Then the settings answer is 200 with ETag "2"

  Scenario Outline: A refusal has a status and a reason
    When settings "<method>" with If-Match "<if_match>" alone of "<branch>" is asked with the key of "<operator>"
    Then the settings answer is <status>
    And the settings refusal is "<reason>" with outcome "not_run"

    Examples:
      | method  | branch  | if_match | operator | status | reason           |
      | GET     | fleet   | -        | nobody   | 401    | unauthenticated  |
      | GET     | fleet   | -        | quota    | 403    | forbidden        |
      | GET     | ghosts  | -        | platform | 404    | not_found        |
      | HISTORY | fleet   | -        | quota    | 403    | forbidden        |
      | HISTORY | ghosts  | -        | platform | 404    | not_found        |
      | PUT     | fleet   | 7        | fleet    | 412    | version_conflict |
      | PUT     | fleet   | -        | fleet    | 428    | bad_request      |
      | PUT     | fleet   | 1        | quota    | 403    | forbidden        |

  Scenario: A wrong tree is answered with every problem
    When settings "PUT" with If-Match "1" and body "{}" of "fleet" is asked with the key of "fleet"
    Then the settings answer is 422
    And the settings refusal is "invalid_tree" with outcome "not_run"

  Scenario: A body that is no JSON is refused
    When settings "PUT" with If-Match "1" and body "{" of "fleet" is asked with the key of "fleet"
    Then the settings answer is 422

  Scenario: An outage is answered with when to come back
    Given the settings table is down
    When settings "PUT" with If-Match "1" alone of "fleet" is asked with the key of "fleet"
    Then the settings answer is 503
    And the settings refusal is "platform_unavailable" with outcome "not_run"
    And the settings answer has the header "Retry-After"

  Scenario: An unknown end is called unknown
    Given the settings table loses 99 replies after the write
    When settings "PUT" with If-Match "1" alone of "fleet" is asked with the key of "fleet"
    Then the settings answer is 504
    And the settings refusal is "platform_unavailable" with outcome "unknown"
