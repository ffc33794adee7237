@processes
Feature: Endpoints that say they are brittle are not overrun
  One that turns away more requests a second than it says falls over for a while.

  # Guards against requests in excess of an endpoint's room, which it would not survive.
  Scenario Outline: Brittle endpoints stay up at twice their room
    Given a platform with 4 brittle endpoints that may turn away <limit> requests a second
    And 3 platform VMs
    When callers ask for twice the room for 6 s while <event>
    Then the endpoints have fallen over <falls> times at most

    Examples:
      | limit | event                      | falls |
      | 3     | nothing happens            | 0     |
      | 3     | no request may wait        | 2     |
      | 3     | each VM is killed once     | 2     |
      | 3     | half of their room is gone | 2     |
