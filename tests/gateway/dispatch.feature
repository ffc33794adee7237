Feature: One dispatch for one request
  A request is sent at most once unless its work is idempotent, and what the
  caller hears is true.

  Background:
    Given a dispatcher with a scheduler that grants "e1" then "e2"

  Scenario Outline: What an endpoint's failure means
    Given the dispatcher's first endpoint <failure>
    When the dispatcher runs <work> work
    Then the dispatcher ends with <ending>
    And the endpoints got <sent> dispatches

    Examples:
      | failure                | work           | ending    | sent |
      | answers                | non-idempotent | delivery  | 1    |
      | refuses the connection | non-idempotent | delivery  | 2    |
      | breaks before a byte   | non-idempotent | unknown   | 1    |
      | breaks before a byte   | idempotent     | delivery  | 2    |
      | breaks before a byte   | keyed          | failed    | 1    |
      | refuses the connection | keyed          | delivery  | 2    |
      | breaks after a byte    | idempotent     | cut_short | 1    |
      | breaks after a byte    | non-idempotent | cut_short | 1    |

  Scenario: A refusal before any dispatch is "not run"
    Given the dispatcher's scheduler refuses
    When the dispatcher runs idempotent work
    Then the dispatcher ends with not_run
    And the endpoints got 0 dispatches

  Scenario: A retry that finds no slot is not called "not run"
    Given the dispatcher's first endpoint breaks before a byte
    And the dispatcher's scheduler refuses after the first grant
    When the dispatcher runs idempotent work
    Then the dispatcher ends with failed

  Scenario: An endpoint says in an answer that it leaves
    Given the dispatcher's first endpoint says that it leaves
    When the dispatcher runs non-idempotent work
    Then the dispatcher ends with delivery
    And the dispatcher tells that "e1" leaves

  Scenario: Slots are freed exactly once
    Given the dispatcher's first endpoint breaks before a byte
    When the dispatcher runs idempotent work
    Then every grant was finished exactly once

  Scenario: A caller who leaves stops the engine's stream
    Given the dispatcher's first endpoint never ends
    When the dispatcher's caller leaves
    Then the engine was told to cancel the stream
    And every grant was finished exactly once

  Scenario: A deadline that passes stops the engine's stream
    Given the dispatcher's first endpoint never ends
    When the dispatcher runs non-idempotent work with 50 ms left
    Then the dispatcher ends with cut_short
    And the engine was told to cancel the stream

  Scenario: Retries stop when the budget is used up
    Given every endpoint of the dispatcher breaks before a byte
    When the dispatcher runs 60 idempotent requests
    Then fewer than 20 dispatches were repeats

  Scenario: A gateway that was paused past the deadline sends nothing
    Given the dispatcher is paused past the deadline while it waits for a grant
    When the dispatcher runs non-idempotent work
    Then the dispatcher ends with not_run
    And the endpoints got 0 dispatches
    And the dispatcher has given its slot back

  Scenario: A request under which endpoints end is refused, whoever repeats it
    Given every endpoint of the dispatcher ends under a request
    When the dispatcher repeats one idempotent request 10 times
    Then the endpoints got at most 4 dispatches
    And the dispatcher ends with not_run

  Scenario: Another caller's request is served beside it
    Given every endpoint of the dispatcher ends under a request
    When the dispatcher repeats one idempotent request 10 times
    And the dispatcher's endpoints answer again
    And the dispatcher serves another organisation
    Then the dispatcher ends with delivery
