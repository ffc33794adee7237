@processes
Feature: Endpoints that fall silent for about a second and go on
  A request whose endpoint is silent may go on elsewhere, but keeps that endpoint until
  another one has a slot for it.

  # Guards against answers that were broken off because their endpoint was given up before
  # another one was certain.
  Scenario: A stream goes on at its endpoint if no other one has a slot
    Given a platform whose endpoint "e1" of "pool" has one slot, taken by "POST /chat/a"
    And another endpoint "e2" of "pool"
    And the endpoint "e2" pauses for 1200 ms inside its streams
    When a caller sends "POST /help/a"
    Then the answer is 200 and holds the events 1 to 5 once each
    And the answer is whole
    And "e1" has run 1 request

  # Guards against refusals of requests whose endpoint was about to answer.
  Scenario: A call is answered by its endpoint if no other one has a slot
    Given a platform whose endpoint "p1" of "portal" has one slot, taken by "POST /plain/file/a"
    And another endpoint "p2" of "portal"
    And the endpoint "p2" takes 1200 ms
    When a caller sends "GET /plain/a"
    Then the answer is 200 and the endpoint's own
    And "p1" has run 1 request
