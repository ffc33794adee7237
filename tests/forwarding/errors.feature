Feature: Requests in which this VM itself fails
  An unhandled error ends a request in a refusal that says what is known of it, or, once
  an answer has begun, breaks the answer off.

  # Guards against requests that got neither an answer nor a refusal, but the server's
  # plain 500 or a closed connection, after an error that nothing handled.
  Scenario Outline: An error <when> ends in a truthful answer
    Given a forwarder in which an error occurs <when>
    When a caller's request is served
    Then its caller gets <status> for the reason "internal_error"
    And the error is logged

    Examples:
      | when                     | status |
      | while it is checked      | 503    |
      | as it is logged          | 503    |
      | while it waits           | 503    |
      | after it was sent        | 502    |
      | before its answer begins | 502    |

  # Guards against a begun answer that ends as if it were complete, or goes on with a
  # refusal.
  Scenario: An error inside an answer breaks it off
    Given a forwarder in which an error occurs inside its answer
    When a caller's request is served
    Then its caller's answer is broken off
    And the error is logged

  # Guards against a refusal behind an answer that was complete already.
  Scenario: An error behind an answer changes nothing of it
    Given a forwarder in which an error occurs behind its answer
    When a caller's request is served
    Then its caller's answer is complete
    And the error is logged

  # Guards against errors at one VM that end what another one could still serve.
  Scenario Outline: An error <when> of a relayed request is answered <status>
    Given a forwarder in which an error occurs <when>
    When another VM's request is served
    Then that VM gets <status>
    And the error is logged

    Examples:
      | when                | status |
      | while it is checked | 421    |
      | as it is logged     | 421    |
      | while it waits      | 421    |
      | after it was sent   | 502    |

  # Guards against a planned stop that waits for requests that have ended.
  Scenario: A request that ended in an error is not open any more
    Given a forwarder in which an error occurs as it is logged
    When a caller's request is served
    Then no request is open
