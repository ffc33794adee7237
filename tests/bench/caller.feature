Feature: The bench's caller
  Only a whole answer that is the caller's own counts as good.

  Scenario: A whole streamed answer
    Given a bench server that streams 5 tokens of the caller's own answer
    When the bench caller asks for 5 tokens
    Then the bench record is whole with 5 tokens
    And the bench record has a first token time and 4 gaps

  Scenario: An answer that was cut short
    Given a bench server that streams 3 tokens of the caller's own answer
    When the bench caller asks for 5 tokens
    Then the bench record is not whole

  Scenario: Somebody else's answer
    Given a bench server that streams 5 tokens of a foreign answer
    When the bench caller asks for 5 tokens
    Then the bench record is not whole

  Scenario: A typed refusal
    Given a bench server that refuses with outcome "not_run" and reason "queue_full"
    When the bench caller asks for 5 tokens
    Then the bench record has outcome "not_run" and reason "queue_full"
    And the bench record says to come back after 1500 ms

  Scenario: Nobody listens
    When the bench caller asks a closed port for 5 tokens
    Then the bench record has status 0 and an error
