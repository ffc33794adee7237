Feature: Passing an answer on to the caller

  Scenario: a whole event stream is passed on and closed
    Given an engine that streams 5 events and its end
    When the endpoint's answer is relayed
    Then the relay passed on every byte and closed the answer
    And the relay counted 5 chunks and 7 cached tokens

  Scenario: a stream that breaks before its first byte leaves the answer unopened
    Given an engine that breaks after its head
    When the endpoint's answer is relayed
    Then the relay opened nothing and says broken

  Scenario Outline: an answer that did not come whole is left open
    Given an engine that streams 5 events and <fault>
    When the endpoint's answer is relayed
    Then the relay left the answer open and says broken

    Examples:
      | fault                          |
      | closes                         |
      | ends well without its marker   |

  # Guards against a length that ends a stream as complete without its end marker.
  Scenario: the length of an event stream is not passed on
    Given an engine that streams 5 events with their length and no end marker
    When the endpoint's answer is relayed
    Then the relay left the answer open and says broken
    And the caller was told no length

  Scenario: an answer that its engine cancelled is left open
    Given an engine that streams 4 events and a last one that says cancelled
    When the endpoint's answer is relayed
    Then the relay left the answer open and says broken

  Scenario: a caller that leaves early ends the relay
    Given an engine that streams 5 events and falls silent
    When the caller leaves while the endpoint's answer is relayed
    Then the relay says that the caller has gone

  Scenario: first byte and progress are told
    Given an engine that streams 5 events and its end
    When the endpoint's answer is relayed
    Then the relay told the first byte once and the progress up to 5 chunks

  Scenario: a JSON answer's cached tokens are read from its usage
    Given an engine that answers JSON with 12 cached tokens
    When the endpoint's answer is relayed
    Then the relay passed on every byte and closed the answer
    And the relay counted 1 chunks and 12 cached tokens
