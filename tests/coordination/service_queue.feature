Feature: A new scheduler's desk while gateways still follow the old one
  Views differ for a second after a VM has died; in that time no lower tier may
  take a place that a higher one waits for elsewhere.

  Background:
    Given a desk that settles for gateways "a" and "b" with 1 free slot

  Scenario: A lower tier waits for the gateway that registers late
    When the desk is asked by "a" for tier 2
    And the desk's clock moves on by 800 ms
    And the desk is asked by "b" for tier 0
    Then the desk has granted "b" only

  Scenario: The highest tier does not wait for the late gateway
    When the desk is asked by "a" for tier 0
    And the desk's clock moves on by 400 ms
    Then the desk has granted "a" only

  Scenario: A lower tier does not wait for ever
    When the desk is asked by "a" for tier 2
    And the desk's clock moves on by 2200 ms
    Then the desk has granted "a" only

  Scenario: Nobody waits once all have registered
    When the desk is asked by "a" for tier 2
    And both gateways tell the desk all that they hold
    Then the desk has granted "a" only

  Scenario: An endpoint that leaves gets nothing when its data centre comes back
    Given the desk has settled and its endpoint is marked as leaving
    When the desk is asked by "a" for tier 0
    And the endpoint's data centre is cut off from the desk and comes back
    Then the desk has granted nobody else

  Scenario Outline: Suspects are kept apart, so that the next end tells them apart
    Given a settled desk with <endpoints> endpoints of 4 free slots
    When 2 suspects and 2 other requests ask the desk
    Then the desk has granted all 4
    And the suspects run on <apart> endpoints

    Examples:
      | endpoints | apart |
      | 3         | 2     |
      | 1         | 1     |
