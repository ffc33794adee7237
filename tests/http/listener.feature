Feature: The listener for callers on kept connections

  Background:
    Given a listener that waits 200 ms for a head, and answers after 400 ms

  # Guards against a proper head that counted as too long, as the bytes of the body before
  # it were counted with it.
  Scenario: A head in two pieces follows a long body in many pieces
    When a caller sends a request with a body of 100000 bytes in 10 pieces
    And it sends another request whose head comes in 2 pieces
    Then it gets 2 answers

  # Guards against answers that are cut off by what comes behind their request.
  Scenario Outline: <what> behind a request does not cut its answer off
    When a caller sends a request and then the bytes of "<what>"
    Then it gets 1 answer
    And the connection is closed

    Examples:
      | what                    |
      | half of a head          |
      | a malformed head        |
      | a head that is too long |

  Scenario: A head that is late on an idle connection is refused
    When a caller sends the bytes of "half of a head"
    Then it gets the status 408
    And the connection is closed

  # Guards against trailers that pass for headers, for example a key.
  Scenario: A trailer is not a header
    When a caller sends a chunked body with the trailer "x-trailer: 1"
    Then it gets 1 answer
    And the request's headers do not hold "x-trailer"

  Scenario: Requests beyond those that may wait on a connection are not taken
    When a caller sends 12 requests in one packet
    Then it gets 9 answers
    And the connection is closed

  # Guards against a parser that stops at the offer, and takes the body for a request.
  Scenario Outline: A request that offers an upgrade keeps its body, <how>
    When a caller offers "<offer>" with the body "GET /b HTTP/1.1", <how>
    Then it gets 1 answer
    And the bodies received are "GET /b HTTP/1.1"

    Examples:
      | offer     | how                     |
      | h2c       | in one packet           |
      | h2c       | in a packet of its own  |
      | websocket | in a chunk              |

  Scenario: A tunnel is refused
    When a caller sends the bytes of "a tunnel"
    Then it gets the status 400
    And the connection is closed

  # Guards against answers that are kept for as long as nobody reads them.
  Scenario: A caller that reads no answer makes room for others
    Given a listener that holds 1000000 bytes, and answers with 20000000
    When a caller sends a request and reads no answer
    Then the listener has closed its connection
