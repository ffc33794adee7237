@processes
Feature: What endpoints say of themselves in their answers
  Real VMs before engines. An endpoint in need names the requests a second that it takes
  from all VMs together; those that it has told send it no more than half as much again.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | e1       | pool    |
      | e2       | pool    |
      | e3       | pool    |
    And 3 platform VMs

  Scenario: VMs log what they hear of limits
    Given "e1" says "Server-Limit: soon"
    When callers ask the engines 40 times a second for 2 s
    And "e1" names a limit of 50 requests a second after 1 s
    Then all requests are served
    And each VM that logs "endpoint_header_rejected" of "e1" does so once
    And a VM logs "endpoint_limit" of "e1"

  # An endpoint that had named 1.2 requests a second got 21 in 4 s.
  Scenario: An endpoint in need gets no more than the rate that it names
    When callers ask the engines 40 times a second for 12 s
    And "e1" names a limit of 1.5 requests a second after 1 s
    Then "e1" gets no more than its limit allows
    And all requests are served

  Scenario: The limit holds beyond the scheduler that heard of it
    Given another platform VM
    When callers ask the engines 40 times a second for 18 s
    And "e1" names a limit of 1.5 requests a second after 1 s
    And the engines' scheduler is killed after 5 s
    And the engines' scheduler is frozen from 8 s to 11 s
    Then "e1" gets no more than its limit allows

  Scenario: All engines are in need
    When callers ask the engines 40 times a second for 12 s
    And "e1" names a limit of 2 requests a second after 1 s
    And "e2" names a limit of 2 requests a second after 1 s
    And "e3" names a limit of 2 requests a second after 1 s
    Then "e1" gets no more than its limit allows
    And "e2" gets no more than its limit allows
    And "e3" gets no more than its limit allows
    And each engine gets nearly what its limit allows it
    And each answer is 200, or 503 with a time to come back

  Scenario: An endpoint that names no limit any more gets its part again
    Given the endpoint "e2" takes 300 ms
    And the endpoint "e3" takes 300 ms
    When callers ask the engines 40 times a second for 12 s
    And "e1" names a limit of 1.5 requests a second after 1 s
    And "e1" names no limit any more after 8 s
    Then "e1" gets no more than its limit allows
    And "e1" gets more than 10 requests in the last 2 s

  # A request reached an endpoint 2.9 s after an answer had said that it leaves.
  Scenario: An endpoint that says it leaves gets nothing, whatever the registry says
    When callers ask the engines 40 times a second for 7 s
    And "e1" says that it leaves after 1 s
    Then "e1" gets nothing later than 2 s after its word
    And all requests are served

  Scenario: The word of an endpoint that leaves outlasts the scheduler that heard it
    When callers ask the engines 40 times a second for 8 s
    And "e1" says that it leaves after 1 s
    And the engines' scheduler is killed after 3 s
    Then "e1" gets nothing later than 2 s after its word

  # An endpoint had asked a VM for 3 s of rest, and got four requests from it.
  Scenario: An endpoint that asks a VM for rest gets it
    Given the endpoint "e2" takes 300 ms
    And the endpoint "e3" takes 300 ms
    When callers ask the engines 40 times a second for 9 s
    And "e1" turns each 4th request away for 3 s of rest after 1 s
    Then "e1" gets 2 requests at most from a VM while it rests
    And each answer is 200, or 503 with a time to come back

  Scenario: All engines ask for rest
    When callers ask the engines 40 times a second for 9 s
    And "e1" turns each 4th request away for 3 s of rest after 1 s
    And "e2" turns each 4th request away for 3 s of rest after 1 s
    And "e3" turns each 4th request away for 3 s of rest after 1 s
    Then "e1" gets 2 requests at most from a VM while it rests
    And "e2" gets 2 requests at most from a VM while it rests
    And "e3" gets 2 requests at most from a VM while it rests
    And each answer is 200, or 503 with a time to come back

  Scenario: The limit holds as all VMs are killed and started again in turn
    When callers ask the engines 40 times a second for 14 s
    And "e1" names a limit of 1.5 requests a second after 1 s
    And the VMs are killed and started again one after the other meanwhile
    Then "e1" gets no more than its limit allows
