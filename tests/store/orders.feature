Feature: Orders to load models
  An engine is ordered by one VM at a time, and a paused one's order is
  refused, or waited out where the engine ignores fencing numbers.

  Scenario: A model is loaded under a lease
    Given an order engine that honours fencing
    When order VM "a" has the model loaded
    Then the order ends as "loading"
    And the engine got orders with fencing "1"

  Scenario: What is loaded already is not ordered again
    Given an order engine that honours fencing
    When order VM "a" has the model loaded
    And order VM "b" has the model loaded
    Then the order ends as "loading"
    And the engine got orders with fencing "1"

  Scenario: A VM that is paused before its order finds its lease lapsed
    Given an order engine that ignores fencing
    And order VM "a" is paused for 200 ms while it reads the engine's state
    When order VM "a" has the model loaded
    Then the order is given up for its lost lease
    And the engine got no orders

  Scenario: An old number is refused by an engine that honours fencing
    Given an order engine that honours fencing
    And the engine has seen fencing 7
    When order VM "a" has the model loaded
    Then the order ends as "fenced_off"

  Scenario: The successor of a silent holder looks before it orders
    Given an order engine that ignores fencing
    And the engine takes orders but its replies are lost
    When order VM "a" has the model loaded
    Then the order ends as "loading"
    And the engine got orders with fencing "1"

  Scenario: An order in doubt keeps its lease until it lapses
    Given an order engine that ignores fencing
    And the engine loses orders and replies
    When order VM "a" has the model loaded
    Then the order ends as "unknown"
    When order VM "b" has the model loaded
    Then the order ends as "not_holder"

  Scenario Outline: An engine is chosen only where demand has outgrown the ready ones
    Given an order fleet where "big" and "small" lack the model and "ready" has it
    When <waiting> requests wait for <slots> ready slots
    Then the engine to load is "<chosen>"

    Examples:
      | waiting | slots | chosen |
      | 9       | 8     | big    |
      | 8       | 8     | none   |

  Scenario: Pulls keep the weight store's pace
    Given a weight store that refuses the first 2 pulls
    When a model is pulled
    Then the pull succeeds after 3 tries, no sooner than the store asked

  @processes
  Scenario: A real engine without its model gets one when demand asks for it
    Given an engine process without the model and a model keeper
    When 1 requests wait and the keeper looks after the service
    Then the engine process has the model, by an order with fencing 1
    When 1 requests wait and the keeper looks after the service
    Then the engine process got 1 order
