Feature: Engines' streams

  Scenario: an event stream is marked by its content type
    Given an engine that streams 5 events and its end
    When the endpoint's answer is read
    Then the endpoint's answer is an event stream

  Scenario: a stream that the engine knows is resumed
    Given an engine that streams 5 events and its end
    When the engine's stream "abc" is resumed from chunk 3
    Then the endpoint was asked for "GET /v1/streams/abc?from=3"

  Scenario: a stream that the engine does not know is gone
    Given an endpoint that answers 404
    When the engine's stream "abc" is resumed from chunk 3
    Then the endpoint call fails as gone

  Scenario Outline: an engine's own refusal is no answer
    Given an endpoint that answers <status>
    When the endpoint's answer is read
    Then the endpoint call fails as <failure>

    Examples:
      | status | failure |
      | 429    | refused |
      | 503    | refused |
      | 500    | broken  |
      | 502    | broken  |

  Scenario: a plain service's status passes
    Given an endpoint that answers 503
    When the plain service's answer is read
    Then the plain service's status is 503

  Scenario: a plain service keeps no streams
    Given an endpoint that answers 404
    When the plain service's stream "abc" is resumed from chunk 3
    Then the endpoint call fails as gone

  Scenario: cancel asks the engine and swallows its errors
    Given an endpoint that closes before it answers
    When the engine's stream "abc" is cancelled
    Then the endpoint was asked for "POST /v1/streams/abc/cancel"

  Scenario: the adapters are registered by service kind
    Then the registered endpoint adapters are "engine" and "plain"
