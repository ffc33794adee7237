Feature: Moves of requests away from silent endpoints
  An endpoint that is silent keeps the request until another one has granted a slot.

  Background:
    Given a forwarder whose endpoint has sent an event and is silent

  Scenario: The request goes on where a slot is granted
    When another endpoint grants a slot
    Then the first endpoint is cut off
    And the answer goes on at the other endpoint
    And no slot is held

  # Guards against answers that are broken off as no other endpoint has a slot.
  Scenario: A refusal leaves the request where it is, and it asks again
    When the scheduler refuses a slot twice
    And the first endpoint goes on
    Then the answer is whole at the first endpoint
    And no slot is held

  # Guards against slots that are granted to requests that need none any more.
  Scenario: An endpoint that goes on ends the request's wait for another one
    When it waits for a slot elsewhere
    And the first endpoint goes on
    Then the answer is whole at the first endpoint
    And the wait was withdrawn
    And no slot is held

  # Guards against leaving an endpoint that has just gone on, and against lost slots.
  Scenario: A slot that is granted as the endpoint ends its answer is given back
    When another endpoint grants a slot as the first one goes on
    Then the whole answer has come
    And no slot is held

  # Guards against two asks of one request under one id, of which one is refused.
  Scenario: A stream that breaks while the request waits for a slot goes on elsewhere
    When it waits for a slot elsewhere
    And the first endpoint breaks off
    And another endpoint grants a slot
    Then the answer goes on at the other endpoint
    And all its asks had ids of their own
    And no slot is held

  # Guards against slots that stay taken after their request has ended.
  Scenario: A caller that leaves ends the wait
    When it waits for a slot elsewhere
    And the caller of that answer leaves
    Then the wait was withdrawn
    And the first endpoint is cut off
    And no slot is held
