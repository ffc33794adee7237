Feature: Limits counted in a sliding window
  Any window of the given length holds no more than the rate and burst allow.

  Scenario: A window holds no more than its bound
    Given a window of 1000 tokens in 8000 ms
    When 600 tokens pass at 0 ms
    Then 500 tokens must wait 8000 ms at 0 ms
    And 400 tokens may pass at 0 ms
    And 500 tokens may pass at 8001 ms

  Scenario: Retry times reserve room for one caller after the other
    Given a window of 1000 tokens in 8000 ms
    When 500 tokens pass at 0 ms
    And 500 tokens pass at 4000 ms
    Then 500 tokens must wait 4000 ms at 4000 ms
    And 500 tokens must wait 8000 ms at 4000 ms

  Scenario: A lowered limit applies at once
    Given a window of 1000 tokens in 8000 ms
    When 1000 tokens pass at 0 ms
    And the bound becomes 400
    Then 1 tokens must wait 8000 ms at 0 ms

  Scenario: Earlier usage counts in full when a lowered limit is raised again
    Given a window of 1000 tokens in 8000 ms
    When 500 tokens pass at 0 ms
    And the bound becomes 400
    Then 201 tokens must wait 8000 ms at 0 ms
    When 200 tokens pass at 0 ms
    And the bound becomes 1000
    Then 301 tokens must wait 8000 ms at 0 ms
    And 300 tokens may pass at 0 ms
    When the bound becomes 600
    Then 101 tokens must wait 8000 ms at 0 ms
    And 100 tokens may pass at 0 ms

  Scenario: Usage under a larger limit elsewhere counts as the same fraction
    Given a window of 400 tokens in 8000 ms
    When 500 tokens passed elsewhere at 0 ms, where 1000 were the bound
    Then 201 tokens must wait 8000 ms at 0 ms
    And 200 tokens may pass at 0 ms
    When the bound becomes 1000
    Then 501 tokens must wait 8000 ms at 0 ms

  Scenario: Usage after the last save counts as unrecorded
    Given a window of 1000 tokens in 8000 ms
    When 200 tokens pass at 0 ms
    Then 0.2 of the bound is unrecorded
    When the uses are recorded
    Then 0.0 of the bound is unrecorded
    When 50 tokens pass at 100 ms
    Then 0.05 of the bound is unrecorded

  Scenario: A new scheduler assumes usage until it has read the saved one
    Given a window of 1000 tokens in 8000 ms with 300 to spare
    When it is guessed to be used at 0 ms
    Then 300 tokens may pass at 0 ms
    And 301 tokens must wait 8000 ms at 0 ms
    When the record of 200 tokens at 0 ms is taken
    Then 600 tokens may pass at 0 ms

  Scenario: A larger share of the rates applies after one window
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 400   |
    And the organisation "org" may use 1000 tokens in 8000 ms
    When the core may let 0.5 of the rates pass
    Then the core lets 500 tokens of "org" pass
    When the core may let 1.0 of the rates pass
    Then the core lets 0 tokens of "org" pass
    When 8100 ms pass, with 1.0 of the rates
    Then the core lets 1000 tokens of "org" pass

  Scenario: Unrecorded usage is measured as a share of the tolerance
    Given a window of 1000 tokens in 8000 ms with 400 to spare
    When 100 tokens pass at 0 ms
    Then 0.25 of the allowance is unrecorded

  Scenario: A request that waited for a slot counts from its grant
    Given an objective core with the endpoints
      | endpoint | slots |
      | one      | 40    |
    And the organisation "o" may use 1000 tokens in 8000 ms
    When a request of 600 tokens of "o" waits 4000 ms for its slot
    And 4100 ms pass, with 1.0 of the rates
    Then the core lets 400 tokens of "o" pass
    When 4000 ms pass, with 1.0 of the rates
    Then the core lets 600 tokens of "o" pass
