Feature: The gate before endpoints' slots
  What is quarantined gets no slot, and those that wait hear of it at once.

  Background:
    Given a gate before a scheduler

  Scenario: Others pass
    When a request for "harmless" asks for a slot
    And the scheduler grants it
    Then it has the slot

  Scenario: A request that is quarantined already does not ask
    Given three endpoints ended under "guilty"
    When a request for "guilty" asks for a slot
    Then it is refused as "crashes_endpoints" and not run
    And the scheduler was not asked

  Scenario: A request that waits is refused as soon as it is quarantined
    When a request for "guilty" asks for a slot
    And three endpoints end under "guilty"
    Then it is refused as "crashes_endpoints" and not run
    And the scheduler was told that it waits no more

  Scenario: A slot that is granted at the same moment is given back
    When a request for "guilty" asks for a slot
    And the scheduler grants it while three endpoints end under "guilty"
    Then it is refused as "crashes_endpoints" and not run
    And its slot is free again

  Scenario: A request waits for a judgement on it that is under way
    When two endpoints end under "guilty", and a third a moment later
    And a request for "guilty" asks for a slot
    Then it is refused as "crashes_endpoints" and not run
    And the scheduler was not asked

  Scenario: A suspect says that it is one
    When two endpoints end under "guilty"
    And a request for "guilty" asks for a slot
    And the scheduler grants it
    Then it has the slot
    And the scheduler knows it as a suspect

  Scenario: A caller that leaves is no refusal
    When a request for "harmless" asks for a slot
    And its caller leaves
    Then its wait ends by the cancellation
