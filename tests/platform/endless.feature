@processes
Feature: An endpoint that sends without end harms no other request
  Bytes that are no answer may come until the VM closes the connection.

  # Guards against a VM that grows for as long as an endpoint sends a header or a body, and
  # serves nothing meanwhile.
  Scenario Outline: Callers are served beside an endpoint that sends an <what>
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | p2       | portal  |
      | e1       | pool    |
    And a platform VM
    And the endpoint "p1" does "<what>"
    When callers send "GET /plain/a" until "p1" has run one, beside "POST /help/a"
    Then each answer of "POST /help/a" is whole, with the events 1 to 5
    And no VM has grown by more than 20 MB

    Examples:
      | what           |
      | endless header |
      | endless body   |

  # Guards against a VM that keeps all of an event until its end, to resume the stream.
  Scenario: A stream whose event does not end goes on elsewhere
    Given a platform with the endpoints
      | endpoint | service |
      | e1       | pool    |
      | e2       | pool    |
    And a platform VM
    And the endpoint "e1" does "endless event"
    When callers send "POST /help/a" 12 times in turn
    Then "e1" has run some of them
    And no VM has ever grown by more than 20 MB
    And each answer holds the events 1 to 5 once each
