Feature: An endpoint that starts again under its id
  The moment of its start tells one start from the next. Only whether it is the same
  counts, not which is later: its clock may have gone back.

  Background:
    Given a metadata store and its watches

  Scenario Outline: Another start is another endpoint
    When an endpoint registers as "p2" with born 1764720000000
    Then the start of "p2" becomes 1764720000000
    When an endpoint registers as "p2" with born <born>
    Then the start of "p2" becomes <born>

    Examples:
      | born          |
      | 1764720005000 |
      | 1764710000000 |

  Scenario: A heartbeat of the same start changes nothing
    When an endpoint registers as "p2" with born 1764720000000
    Then the start of "p2" becomes 1764720000000
    When an endpoint registers as "p2" with born 1764720000000
    Then the directory has told of 1 change
