Feature: A new scheduler's queue while gateways still follow the old one
  Views differ for about a second after a VM has died. Meanwhile no lower tier may
  take a slot that a higher tier waits for at another gateway.

  Background:
    Given a service queue that awaits gateways "a" and "b" with 1 free slot

  Scenario: A lower tier waits for the gateway that registers late
    When the queue gets a request from "a" for tier 2
    And the queue's clock advances by 800 ms
    And the queue gets a request from "b" for tier 0
    Then the queue has granted "b" only

  Scenario: The highest tier does not wait for the late gateway
    When the queue gets a request from "a" for tier 0
    And the queue's clock advances by 400 ms
    Then the queue has granted "a" only

  Scenario: A lower tier waits for a limited time
    When the queue gets a request from "a" for tier 2
    And the queue's clock advances by 2200 ms
    Then the queue has granted "a" only

  Scenario: Grants start once all gateways have registered
    When the queue gets a request from "a" for tier 2
    And both gateways sync all their requests with the queue
    Then the queue has granted "a" only

  Scenario: A leaving endpoint gets no grant when its data centre comes back
    Given the queue has settled and its endpoint is marked as leaving
    When the queue gets a request from "a" for tier 0
    And the endpoint's data centre is cut off from the queue and comes back
    Then the queue has granted nobody else

  Scenario Outline: Suspects run on different endpoints, so that a crash identifies one
    Given a settled service queue with <endpoints> endpoints of 4 free slots
    When 2 suspects and 2 other requests are submitted
    Then the queue has granted all 4
    And the suspects run on <apart> endpoints

    Examples:
      | endpoints | apart |
      | 3         | 2     |
      | 1         | 1     |

  # Guards against a stream that no endpoint may get, since one of each version runs a
  # suspect and only others are free.
  Scenario Outline: A suspect that is bound to a version is spread within it
    Given the endpoints "a1" of "v1" and "b1" and "b2" of "v2", and a suspect on each first
    When another suspect bound to "<version>" comes
    Then it may not go to "<excluded>"

    Examples:
      | version | excluded |
      | v1      |          |
      | v2      | b1       |
