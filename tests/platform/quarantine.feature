@processes
Feature: A request that ends every endpoint which begins it
  Seen: a question came again and again, with the same path, caller and body, at five VMs;
  each time it ended two engines, and with them up to nine requests of other callers;
  twelve engines within 12 s, the floor without any for half of that time.

  How it came about: to each VM, and to each attempt, a repeat was a new request; a broken
  stream that could be resumed went on at the next engine, whatever had broken it.

  Cause: what a request did to endpoints was forgotten with the attempt, and no VM told
  another. Proof: the question was among the requests of all twelve engines when they ended,
  and of no engine that did not.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | e1       | pool    |
      | e2       | pool    |
      | e3       | pool    |
      | e4       | pool    |
      | e5       | pool    |
    And engines that end under such a request and are back after 1 s
    And 3 platform VMs

  Scenario: A request under which three endpoints have ended is kept from the others
    When such a request comes every 300 ms at the VMs in turn for 9 s, beside harmless ones
    Then it reached endpoints at most 3 times later than 3 s after its third end
    And harmless requests are served again from 5 s after its third end on

  Scenario: All VMs are killed at the same moment and start again
    When such a request comes every 300 ms at the VMs in turn for 3 s, beside harmless ones
    And all VMs are killed and start again
    And such a request comes every 300 ms at the VMs in turn for 6 s, beside harmless ones
    Then it reached endpoints at most 3 times later than 3 s after its third end
    And harmless requests are served again from 6 s after its third end on

  Scenario: Endpoints fall silent when they end
    Given engines whose connections stay open when they end
    When such a request comes every 300 ms at the VMs in turn for 12 s, beside harmless ones
    Then it reached endpoints at most 3 times later than 3 s after its third end
    And harmless requests are served again from 8 s after its third end on

  Scenario: Harmless requests that were beside it are not refused with it
    Given engines that take 120 ms to begin an answer
    When such a request comes every 100 ms at the VMs in turn for 6 s, beside harmless ones
    Then the VMs blame one request only
    And no harmless request was refused for its company

  Scenario: Two such requests of two callers come at the same time
    Given engines that take 120 ms to begin an answer
    When two such requests come every 200 ms at the VMs in turn for 9 s
    Then each reached endpoints at most 3 times later than 3 s after its third end
    And the VMs blame two requests only

  Scenario Outline: Connections that break for other reasons are no ends
    Given all engines do "<fault>"
    When harmless requests come for 3 s
    Then the VMs blame nothing, and tell of no end

    Examples:
      | fault |
      | crash |
      | torn  |
