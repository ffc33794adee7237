Feature: Driving the caller's connection directly

  Background:
    Given a relaying server on uvloop

  Scenario: a whole event stream reaches the caller, and the connection lives on
    Given an engine that streams 50 events and its end
    When a caller asks the relaying server 2 times on one connection
    Then each relayed answer has 50 events and its end
    And the relay drove the connection directly

  Scenario Outline: plain answers reach the caller
    Given an endpoint that <kind>
    When a caller asks the relaying server by <method>
    Then the relayed answer has status <status> and the body "<body>"

    Examples:
      | kind                                                   | method | status | body        |
      | answers with a length and the body "hello world"       | POST   | 200    | hello world |
      | answers with chunks and the body "hello world"         | POST   | 200    | hello world |
      | answers HEAD with the length of a body it does not send | HEAD   | 200    |             |
      | answers 404                                            | POST   | 404    |             |
      | answers 204                                            | POST   | 204    |             |
      | answers 304 with a length                              | POST   | 304    |             |

  Scenario: a slow caller slows the endpoint, and still gets every byte
    Given an endpoint that writes 40000000 bytes as fast as it can
    When a caller asks the relaying server and does not read
    Then the endpoint stops before it has written all
    And the caller can still read 40000000 bytes

  Scenario: a caller that leaves is noticed without a word from the endpoint
    Given an engine that streams 5 events and falls silent
    When a caller reads 5 events from the relaying server and leaves
    Then the relay says that the caller has gone
    And the endpoint's connection is closed

  Scenario: a caller that leaves while it is too slow is noticed
    Given an endpoint that writes 40000000 bytes as fast as it can
    When a caller asks the relaying server, does not read, and leaves
    Then the relay says that the caller has gone
    And the endpoint's connection is closed

  Scenario Outline: a caller that leaves before the first byte
    Given an engine that streams 0 events and the rest when told
    When a caller of a <kind> server leaves before the first byte
    And the engine is told to stream the rest
    Then the relay says that the caller has gone, and is <verdict>

    Examples:
      | kind                  | verdict   |
      | copying               | whole     |
      | plain                 | not whole |
      | copying and pipelined | whole     |
      | plain and pipelined   | not whole |

  Scenario: a relay with a copy goes on without its caller
    Given an engine that streams 5 events and the rest when told
    When a caller of a copying server reads 5 events and leaves
    And the engine is told to stream the rest
    Then the relay is whole without its caller, and so is the copy

  Scenario Outline: an answer that did not come whole never looks whole
    Given an endpoint that <fault>
    When a caller asks the relaying server once and reads to the end
    Then the caller sees a cut answer

    Examples:
      | fault                    |
      | closes within a length   |
      | closes within the chunks |
      | resets within the chunks |

  Scenario: a request that is sent early waits for its turn
    Given an engine that streams 5 events and its end
    When a caller sends 3 requests at once to the relaying server
    Then the caller gets 3 whole answers one after the other

  Scenario: a copy holds every byte
    Given an engine that streams 50 events and its end
    When a caller asks the copying server
    Then the copy of the relayed answer is the answer

  Scenario: however the endpoint cuts its bytes, the caller gets the same ones
    Given an engine that cuts its stream as a fuzzer tells
    Then each fuzzed stream reaches the caller unchanged
