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
