@processes
Feature: An endpoint's answer counts only for the request that it names
  A faulty endpoint sends an answer a second time, where the answer to the next request on
  the connection is due.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
    And a platform VM

  # Guards against 503 for a request that runs: the endpoint has turned another one away.
  Scenario: A late "not run" of an earlier request is not believed of the next
    Given "p1" turns each 2nd request away
    And "p1" sends "refusals" again
    When callers send "POST /plain/file/a" 12 times in turn
    Then no request that ran was answered as not run

  # Guards against the loss of an answer that comes behind another request's.
  Scenario Outline: A request gets its own answer behind a late one: <repeated>
    Given "p1" turns each 2nd request away
    And "p1" sends "<repeated>" again
    When callers send "POST /plain/file/a" 12 times in turn
    Then each request that ran was answered 200

    Examples:
      | repeated |
      | refusals |
      | answers  |

  # Guards against 503 for a request that runs, by an answer that names no request.
  Scenario: "Not run" is not believed if it names no request and may be a late one
    Given "p1" turns each 2nd request away
    And "p1" sends "unnamed refusals" again
    When callers send "POST /plain/file/a" 12 times in turn
    Then no request that ran was answered as not run
    And no request has run twice

  # Guards against a refusal that is believed of no request at all.
  Scenario: "Not run" is believed without a name if it can't be another request's
    Given "p1" names no request as it turns requests away
    And "p1" turns each 1st request away
    When callers send "POST /plain/file/a" 1 times in turn
    Then each answer is 503

  # Guards against a stream that begins with the events of another one.
  Scenario: A stream gets its own events behind those of an earlier one
    Given another endpoint "e1" of "pool"
    And "e1" sends "answers" again
    When callers send "POST /help/a" 6 times in turn
    Then each request that ran was answered 200
    And each answer holds the events 1 to 5 once each

  # Guards against a VM that reads a late answer for as long as the endpoint sends.
  Scenario: A late answer without end breaks its request, and no other one
    Given another endpoint "p2" of "portal"
    And "p1" sends "endless bodies" again
    When callers send "GET /plain/a" 12 times in turn
    Then each request that ran was answered 200
    And no VM has grown by more than 20 MB

  # Guards against a second run of a request that may run once: the first endpoint has
  # turned another one away.
  Scenario: A request is not sent elsewhere for a late "not run" of an earlier one
    Given another endpoint "p2" of "portal"
    And the endpoint "p2" takes 100 ms
    And the route "file" allows 2 attempts
    And "p1" turns each 2nd request away
    And "p1" sends "refusals" again
    When callers send "POST /plain/file/a" 20 times in turn
    Then no request has run twice
    And no request that ran was answered as not run
