Feature: The parser's work is divided into turns of the event loop

  # Guards against an event loop that serves nobody else while it parses chunks of a few
  # bytes: heartbeats and ordinary requests were late by seconds.
  Scenario: Data of others is parsed between the pieces of a body in small chunks
    Given "a" has 10 pieces of 600 events each
    And "b" has 1 piece of 10 events
    When both wait for the parser's turns
    Then "b" is done before the third piece of "a"
    And no turn has over 1600 events
