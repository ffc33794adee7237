Feature: Limits of organisations and teams
  Rates are refused with the time at which they allow more; concurrency holds
  requests back until one ends.

  Scenario: Requests beyond the rate are refused until it allows more
    Given a core whose organisation is limited to 2 requests a second
    When the core is given 3 requests of tier 0
    Then the core has granted 2 requests
    And the core refused "many-2" as "request_limit"
    And the core's refusal of "many-2" says to come back in 1 to 1000 ms
    When 1000 ms pass for the core
    And the core is given the requests
      | id    | tier |
      | later | 0    |
    Then the core granted "later" on "limited"

  Scenario: Tokens beyond the rate are refused
    Given a core whose organisation is limited to 1000 tokens a second
    When the core is given the requests
      | id | prefill | decode |
      | a  | 800     | 100    |
      | b  | 800     | 100    |
    Then the core granted "a" on "limited"
    And the core refused "b" as "token_limit"

  Scenario: Concurrency holds back, and others go on
    Given a core whose organisation is limited to 1 running requests
    When the core is given the requests
      | id    | organisation |
      | a     | org          |
      | b     | org          |
      | other | another      |
    Then the core granted "a" on "limited"
    And the core granted "other" on "limited"
    And the core has not decided "b"
    When the core sees "a" end
    Then the core granted "b" on "limited"

  Scenario: What an earlier scheduler has charged pays nothing again
    Given a core whose organisation is limited to 2 requests a second
    When the core is given 3 requests that an earlier scheduler admitted
    And the core is given the requests
      | id    | tier |
      | new-1 | 0    |
      | new-2 | 0    |
      | new-3 | 0    |
    Then the core has refused 1 requests
    And the core refused "new-3" as "request_limit"

  Scenario: What an earlier scheduler has charged gives nothing back
    Given a core whose organisation is limited to 2 requests a second
    When the core is given 20 requests that an earlier scheduler admitted
    And the core is given the requests
      | id    | tier |
      | new-1 | 0    |
      | new-2 | 0    |
    Then the core has not decided "old-19"
    When the core is told to forget "old-19"
    And the core is given the requests
      | id    | tier |
      | new-3 | 0    |
    Then the core refused "new-3" as "request_limit"
