@processes
Feature: A change of the configuration beside requests
  A request is checked by the configuration that was in force when its head came, whatever
  comes into force while its body is read.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | e1       | pool    |
    And a platform VM

  # Guards against requests that ended in an unhandled exception, without an answer of an
  # endpoint or a refusal, because their route was removed while their body was read.
  Scenario Outline: A request is served although <what> while its body is read
    When a caller sends "<line>" with a body that takes 600 ms, and <what> meanwhile
    Then the answer is 200 and the endpoint's own
    And the answer is whole

    Examples:
      | line          | what                        |
      | POST /plain/a | its route is removed        |
      | POST /plain/a | its service is replaced     |
      | POST /plain/a | its key is taken away       |
      | POST /plain/a | its route is declared again |

  # Guards against requests that were told 404 while they waited for a slot, although each
  # configuration leads them somewhere; their callers don't come back after that.
  Scenario: Nobody who waits for a slot is denied because its service is removed
    Given the endpoint "p1" takes 1500 ms
    When 12 callers send "GET /plain/a", and its route is moved and its service removed
    Then none of them is denied

  # Guards against requests that got 502 although their endpoint was at work on them: it was
  # given up for being silent where there was no other one.
  Scenario Outline: An endpoint that is silent for long is not given up without another
    Given the endpoint "p1" takes 1500 ms
    When 4 callers send "GET /plain/a", and <what>
    Then all of them get the endpoint's own answer

    Examples:
      | what                                         |
      | its route is declared again                  |
      | its route is moved and its service removed   |
