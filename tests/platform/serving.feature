@processes
Feature: A VM on the users' platform, as a real process
  Callers, endpoints and the store are met by their published protocol.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | p2       | portal  |
      | e1       | pool    |
    And a platform VM

  Scenario: A request goes on unchanged, with the system's own headers
    When a caller sends "POST /plain/a?x=1&y" with the body "abc"
    Then the answer is 200 and the endpoint's own
    And exactly one endpoint ran "POST /plain/a?x=1&y HTTP/1.1" with the body "abc"
    And that request carried the organisation and the endpoint's id, and no key

  Scenario: An answer that begins in time is counted as such
    When a caller sends "GET /plain/a"
    Then the answer is 200 and the endpoint's own
    And the metrics count 1 answer of "portal" that began in time
    And the balancer's listener knows no page "/elsewhere"

  Scenario: The metrics and the status tell how well a VM knows its configuration
    Then after 1500 ms the metrics hold version 1, and the status both its ages

  Scenario: What only the system may set does not pass
    When a caller sends "GET /plain/a" with the headers
      | header          | value |
      | Hold            | h1    |
      | Pin-Ms          | 4000  |
      | Kv-Backup       | a:1   |
      | Kv-From         | a:1/2 |
      | Kv-Fetch        | a:1   |
      | Expect-Version  | 9     |
      | Tenant          | other |
      | Expect-Instance | other |
    Then the answer is 200 and the endpoint's own
    And that request carried the organisation and the endpoint's id, and no key
    And that request carried none of "hold, pin-ms, kv-backup, kv-from, kv-fetch, expect-version"

  Scenario Outline: What is not allowed gets its answer and reaches no endpoint
    Given the VM's configuration was confirmed after it came into force
    When a stranger sends "<line>" to host "<host>" with the key "<key>"
    Then the answer is <status>
    And no endpoint has seen a request
    And the log names its path, <status> and the configuration it was checked by

    Examples:
      | line            | host          | key        | status |
      | GET /plain/a    | other.example | key-of-org | 404    |
      | GET /nowhere/   | shop.example  | key-of-org | 404    |
      | GET /plain/a    | shop.example  | wrong      | 401    |
      | GET /plain/a    | shop.example  |            | 401    |

  Scenario Outline: Malformed input gets its answer and reaches no endpoint
    When a stranger sends the bytes of "<what>"
    Then the answer is <status>
    And no endpoint has seen a request

    Examples:
      | what                  | status |
      | a head that is too long | 431  |
      | a body that is too long | 413  |
      | both lengths          | 400    |
      | a deadline of letters | 400    |

  # Guards against proper requests that got 431: bytes of the body before counted as part of
  # the next head on the same connection where that came in two pieces.
  Scenario: A head in two pieces is taken after a long body
    When a caller sends 80000 bytes to "POST /plain/a" in 4 pieces, and then a head in two
    Then both answers are 200

  Scenario: A stream passes event by event and whole
    When a caller sends "POST /chat/a" with the body "abc"
    Then the answer is 200 and holds the events 1 to 5 once each
    And the answer is whole

  Scenario: A broken stream that may not be resumed ends visibly
    Given the endpoint "e1" does "torn"
    When a caller sends "POST /chat/a" with the body "abc"
    Then the answer is not whole
    And "e1" has run 1 request

  Scenario: A broken stream that may be resumed goes on elsewhere
    Given the endpoint "e1" does "torn"
    And another endpoint "e2" of "pool"
    When callers send "POST /help/a" until "e1" has run one
    Then the answer is 200 and holds the events 1 to 5 once each
    And the answer is whole

  # Seen: the body of the failure ended the caller's answer as if it were complete.
  Scenario: A stream that is resumed where the endpoint fails ends visibly
    Given the endpoint "e1" does "torn"
    And another endpoint "e2" of "pool"
    And the endpoint "e2" does "error"
    When callers send "POST /help/a" until "e1" has run one
    Then the answer is not whole

  Scenario: A stream that falls silent goes on elsewhere if it may be resumed
    Given the endpoint "e1" does "mute"
    And another endpoint "e2" of "pool"
    When callers send "POST /help/a" until "e1" has run one
    Then the answer is 200 and holds the events 1 to 5 once each
    And the answer is whole

  Scenario Outline: A call that may be repeated is served elsewhere
    Given the endpoint "p1" does "<fault>"
    When callers send "GET /plain/a" until "p1" has run one
    Then the answer is 200 and the endpoint's own

    Examples:
      | fault    |
      | error    |
      | crash    |
      | silent   |
      | foreign  |
      | unsealed |
      | encoded  |

  Scenario Outline: A call that may not be repeated runs once and is told truthfully
    Given the endpoint "p1" does "<fault>"
    And the endpoint "p2" does "<fault>"
    When a caller sends "POST /plain/file/a" with the body "abc"
    Then the answer is <status>
    And the endpoints have run 1 request

    Examples:
      | fault   | status |
      | crash   | 502    |
      | foreign | 504    |
      | error   | 500    |

  Scenario: A second answer is never given to the next caller
    Given the endpoint "p1" does "extra"
    And the endpoint "p2" does "extra"
    When callers send "GET /plain/a" 8 times
    Then every answer is 200 and whole

  Scenario: A caller that leaves ends its run
    Given the endpoint "e1" does "silent"
    When a caller leaves "POST /chat/a" after 200 ms
    Then "e1" sees its caller leave within 500 ms

  Scenario: A leaving endpoint gets nothing more
    When the endpoint "p1" says that it leaves, and 1300 ms pass
    And callers send "GET /plain/a" 8 times
    Then every answer is 200 and whole
    And "p1" has run 0 requests

  Scenario: A configuration is in force at once and never goes back
    When the operator takes the key away, and 500 ms pass
    And a caller sends "GET /plain/a"
    Then the answer is 401

  Scenario: A planned stop finishes what is open and leaves the balancer first
    Given the endpoint "e1" takes 1500 ms
    When a caller sends "POST /chat/a" and the VM is told to stop
    Then the balancer's question is not answered 200 any more
    And the answer is 200 and holds the events 1 to 5 once each
    And the VM ends with code 0 within 7 s

  Scenario: A planned stop does not wait for a silent store
    When callers send "POST /chat/a" 2 times
    And callers send "GET /plain/a" 2 times
    And the store falls silent and the VM is told to stop
    Then the VM ends with code 0 within 4 s

  Scenario: The life of a request can be read from the log
    When a caller sends "GET /plain/a"
    Then the log has "forward_accepted, forward_sent, forward_finished" of that request
