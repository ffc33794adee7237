Feature: Limits of organisations and teams
  Requests over a rate are refused with a retry time; requests over a concurrency
  limit wait until one ends.

  Scenario: Requests over the rate are refused until it allows more
    Given a core whose organisation is limited to 2 requests a second
    When the core receives 3 requests of tier 0
    Then the core has granted 2 requests
    And the core refused "many-2" as "request_limit"
    And the core's refusal of "many-2" gives a retry time of 1 to 1000 ms
    When 1000 ms pass for the core
    And the core receives the requests
      | id    | tier |
      | later | 0    |
    Then the core granted "later" on "limited"

  Scenario: Requests over the token rate are refused
    Given a core whose organisation is limited to 1000 tokens a second
    When the core receives the requests
      | id | prefill | decode |
      | a  | 800     | 100    |
      | b  | 800     | 100    |
    Then the core granted "a" on "limited"
    And the core refused "b" as "token_limit"

  Scenario: A concurrency limit delays one organisation and not the others
    Given a core whose organisation is limited to 1 running requests
    When the core receives the requests
      | id    | organisation |
      | a     | org          |
      | b     | org          |
      | other | another      |
    Then the core granted "a" on "limited"
    And the core granted "other" on "limited"
    And the core has not decided "b"
    When the core's request "a" ends
    Then the core granted "b" on "limited"

  Scenario: A request that an earlier scheduler charged is not charged again
    Given a core whose organisation is limited to 2 requests a second
    When the core receives 3 requests that an earlier scheduler admitted
    And the core receives the requests
      | id    | tier |
      | new-1 | 0    |
      | new-2 | 0    |
      | new-3 | 0    |
    Then the core has refused 1 requests
    And the core refused "new-3" as "request_limit"

  Scenario: A request that an earlier scheduler charged is not refunded
    Given a core whose organisation is limited to 2 requests a second
    When the core receives 20 requests that an earlier scheduler admitted
    And the core receives the requests
      | id    | tier |
      | new-1 | 0    |
      | new-2 | 0    |
    Then the core has not decided "old-19"
    When the request "old-19" is withdrawn from the core
    And the core receives the requests
      | id    | tier |
      | new-3 | 0    |
    Then the core refused "new-3" as "request_limit"
