@processes
Feature: A VM that is cut off from all endpoints serves its callers by way of others
  Its links to callers, the store and the other VMs stay.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | p2       | portal  |
      | e1       | pool    |
      | e2       | pool    |
    And a platform VM
    And a platform VM in "hall-b" with links of its own

  # Guards against requests that are lost on a VM which reaches no endpoint by itself.
  Scenario Outline: Callers of a cut VM are served at the first try
    When its links are cut so that connections are "<how>", and 2500 ms pass with callers
    And callers send 60 requests of all kinds to it within 3 s
    Then at least 0.95 of them are served
    And no request that may not be repeated ran twice

    Examples:
      | how         |
      | refused     |
      | silent      |
      | new refused |

  # Guards against a VM that relays to others which are cut off as well.
  Scenario: Callers of a cut VM are served beside another one that is cut
    Given a platform VM in "hall-b" with links of its own
    When its links are cut so that connections are "silent", and 2500 ms pass with callers
    And callers send 60 requests of all kinds to it within 3 s
    Then at least 0.95 of them are served
    And no request that may not be repeated ran twice

  # Guards against streams that end with the way to their endpoint.
  Scenario Outline: A stream that may be resumed goes on by way of another VM
    Given engines that take 150 ms for each event
    When its links are cut so that connections are "<how>", 250 ms after "POST /help/a"
    Then the answer is 200 and holds the events 1 to 5 once each
    And the answer is not broken off

    Examples:
      | how     |
      | refused |
      | silent  |

  # Guards against giving up requests whose endpoints are silent for a second.
  Scenario Outline: A silent second of all endpoints breaks nothing off
    Given engines that take 150 ms for each event
    And endpoints that take <work_ms> ms
    When its links are silent for 1000 ms, 250 ms after "<line>"
    Then the answer is 200 and not broken off
    And the endpoints have run 1 request

    Examples:
      | line               | work_ms |
      | POST /chat/a       | 5       |
      | POST /plain/file/a | 500     |

  # Guards against taking a VM's own cut for crashes of endpoints under its requests.
  Scenario: A cut VM blames no request for what it can't reach
    Given engines that take 300 ms for each event
    When its links are cut so that connections are "refused", 250 ms after "POST /chat/a"
    Then no VM takes an endpoint for crashed

  # Guards against relaying for longer than the cut lasts.
  Scenario: A VM that reaches endpoints again sends to them itself
    When its links are cut so that connections are "refused", and 1500 ms pass with callers
    And its links are whole again, and 1000 ms pass
    And callers send 20 requests of all kinds to it within 1 s
    Then at least 0.95 of them are served
    And it has relayed none of them

  # Guards against a lasting belief in a cut where nobody reaches an endpoint.
  Scenario: Where no VM reaches an endpoint, requests are refused in time
    Given the endpoints are gone but listed
    When callers send 10 requests of all kinds to it within 2 s
    Then none of them is served, and none was held for over 3100 ms
