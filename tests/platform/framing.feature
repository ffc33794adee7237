@processes
Feature: An answer is passed on as complete only if it is known to be
  Its framing and, in a stream, the end of its last event tell so.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | e1       | pool    |
    And a platform VM

  # Guards against ending a broken stream as complete where only the close tells its end.
  Scenario: A stream that ends by its connection inside an event is broken off
    Given the endpoint "e1" frames its answers by "close"
    And the endpoint "e1" does "torn"
    When a caller sends "POST /chat/a" with the body "abc"
    Then the answer is broken off
    And "e1" has run 1 request

  # Guards against framing a body as complete that its endpoint left to the close.
  Scenario: A plain answer that ends by its connection stays so
    Given the endpoint "p1" frames its answers by "close"
    And the endpoint "p1" does "torn"
    When a caller sends "GET /plain/a"
    Then the answer is 200 and leaves its end to the close

  # Guards against trusting the framing alone of a stream that ends inside an event.
  Scenario Outline: A stream that breaks inside an event is broken off in any framing
    Given the endpoint "e1" frames its answers by "<framing>"
    And the endpoint "e1" does "<fault>"
    When a caller sends "POST /chat/a" with the body "abc"
    Then the answer is broken off
    And "e1" has run 1 request

    Examples:
      | framing | fault     |
      | close   | reset     |
      | chunks  | torn      |
      | chunks  | reset     |
      | chunks  | cut short |
      | length  | torn      |
      | length  | cut short |

  # Guards against ending a resumable stream as complete without its held-back event.
  Scenario Outline: A stream that breaks inside an event is resumed in any framing
    Given the endpoint "e1" frames its answers by "<framing>"
    And the endpoint "e1" does "<fault>"
    And another endpoint "e2" of "pool"
    And the endpoint "e2" frames its answers by "<next>"
    When callers send "POST /help/a" until "e1" has run one
    Then the answer is 200 and holds the events 1 to 5 once each
    And the answer is not broken off

    Examples:
      | framing | fault     | next   |
      | close   | torn      | chunks |
      | close   | torn      | close  |
      | chunks  | cut short | close  |
      | length  | cut short | length |

  Scenario Outline: A whole answer is whole in any framing
    Given the endpoint "e1" frames its answers by "<framing>"
    And the endpoint "p1" frames its answers by "<framing>"
    When a caller sends "<line>" over HTTP/<version>
    Then the answer is 200 and not broken off
    And the answer ends by "<end>"

    Examples:
      | framing | line         | version | end    |
      | close   | POST /chat/a | 1.1     | close  |
      | close   | POST /help/a | 1.1     | close  |
      | close   | GET /plain/a | 1.1     | close  |
      | chunks  | GET /plain/a | 1.1     | chunks |
      | length  | POST /chat/a | 1.1     | chunks |
      | chunks  | POST /chat/a | 1.0     | close  |
      | length  | GET /plain/a | 1.0     | length |

  # Guards against an orderly close of a broken answer whose end the close tells.
  Scenario: A broken stream is reset for a caller that knows no chunks
    Given the endpoint "e1" does "torn"
    When a caller sends "POST /chat/a" over HTTP/1.0
    Then the answer is broken off

  # Guards against a dying VM that ends open answers as if they were complete.
  Scenario: A killed VM resets an answer whose end the close tells
    Given the endpoint "e1" frames its answers by "close"
    And the endpoint "e1" does "mute"
    When the VM is killed 500 ms after a caller sent "POST /chat/a"
    Then the answer is broken off

  # Guards against the loss of bodies that a resumable route took for events.
  Scenario: A failure's body passes whole on a route for streams
    Given the endpoint "e1" does "error"
    And another endpoint "e2" of "pool"
    And the endpoint "e2" does "error"
    When a caller sends "POST /help/a" with the body "abc"
    Then the answer is 500
    And the answer is whole
