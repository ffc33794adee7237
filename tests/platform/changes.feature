@processes
Feature: A change of the configuration beside requests
  A request is checked by the configuration that was in force when its head came, whatever
  comes into force while its body is read.

  # Guards against requests that ended in an unhandled exception, without an answer of an
  # endpoint or a refusal, because their route was removed while their body was read.
  Scenario Outline: A request is served although <what> while its body is read
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | e1       | pool    |
    And a platform VM
    When a caller sends "<line>" with a body that takes 600 ms, and <what> meanwhile
    Then the answer is 200 and the endpoint's own
    And the answer is whole

    Examples:
      | line          | what                        |
      | POST /plain/a | its route is removed        |
      | POST /plain/a | its service is replaced     |
      | POST /plain/a | its key is taken away       |
      | POST /plain/a | its route is declared again |

  # Guards against 404 for requests of a route that was there all the time, as it led to
  # another service since they came.
  Scenario: Requests that wait for a slot as their service is replaced may come back
    Given a platform whose endpoint "p1" of "portal" has one slot, taken by "GET /plain/a"
    When 4 callers send "GET /plain/a", and 100 ms later all routes lead to "desk"
    Then they are answered 503, and told when to come back

  # Guards against requests that got 502 although their endpoint was at work on them: it was
  # given up for being silent where there was no other one.
  Scenario Outline: An endpoint that is silent for long is not given up without another
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | e1       | pool    |
    And a platform VM
    And the endpoint "p1" takes 1500 ms
    When 4 callers send "GET /plain/a" beside a change: <what>
    Then all of them get the endpoint's own answer

    Examples:
      | what                                       |
      | its route is declared again                |
      | its route is moved and its service removed |

  # Guards against whole requests that end without an answer or a refusal while one change
  # of the configuration follows another.
  Scenario Outline: Requests of all kinds end in an answer beside changes and <what>
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | p2       | portal  |
      | d1       | desk    |
      | e1       | pool    |
      | e2       | pool    |
    And <vm>
    And endpoints that take 200 ms
    When callers keep sending for 6 s, beside changes each 300 ms and <what>
    Then each request has ended in an answer or a refusal
    And no VM has met an unhandled error

    Examples:
      | what                   | vm                                            |
      | nothing else           | a platform VM                                 |
      | news of its settings   | a platform VM                                 |
      | silent endpoints       | a platform VM                                 |
      | a cut to its endpoints | two platform VMs, one with links of its own   |
