Feature: Endpoints that announce in an answer that they are leaving
  The announcement takes effect at once and on all VMs, whatever the registry lists.

  Background:
    Given two VMs that know the endpoint "e1", started at 1000

  Scenario: An announcement to one VM takes effect on both
    When "e1" announces to the first VM that it is leaving
    Then the first VM sends no requests to "e1"
    And the second VM sends no requests to "e1"
    And the VMs were notified once

  Scenario: A later list from the registry does not undo the announcement
    When "e1" announces to the first VM that it is leaving
    And the registry lists "e1", started at 1000
    Then the first VM sends no requests to "e1"

  Scenario: The announcement outlasts a gap in the registry
    When "e1" announces to the first VM that it is leaving
    And the registry lists nothing
    And the registry lists "e1", started at 1000
    Then the first VM sends no requests to "e1"

  Scenario: The announcement does not apply to the endpoint's next start
    When "e1" announces to the first VM that it is leaving
    And the registry lists "e1", started at 2000
    Then the first VM sends requests to "e1"
    And the second VM sends requests to "e1"
    And no VM keeps a mark of its own

  Scenario: A late notification from another VM does not apply to the next start
    When the registry lists "e1", started at 2000
    And the second VM is notified that "e1", started at 1000, is leaving
    Then the second VM sends requests to "e1"

  # Guards against endpoints that got requests again after they had begun to leave: the
  # list of an earlier moment was adopted over the later one.
  Scenario: An earlier list does not undo what the registry has said of a start
    When the registry lists "e1", started at 1000, as leaving
    And the registry lists "e1", started at 1000
    Then the first VM sends no requests to "e1"
    When the registry lists nothing
    And the registry lists "e1", started at 1000
    Then the first VM sends no requests to "e1"

  Scenario: What the registry has said of a start does not apply to the next one
    When the registry lists "e1", started at 1000, as leaving
    And the registry lists "e1", started at 2000
    Then the first VM sends requests to "e1"

  Scenario: An endpoint that does not state its start is of one start under its id
    When the registry lists "e1", started at 0, as leaving
    And the registry lists "e1", started at 0
    Then the first VM sends no requests to "e1"

  Scenario: An announcement is passed on although the registry lists the endpoint as leaving
    When the registry lists "e1", started at 1000, as leaving
    And "e1" announces to the first VM that it is leaving
    Then the VMs were notified once

  # Guards against requests that reached an endpoint after it had left: it was looked at for
  # the last time before a connection to it was awaited.
  Scenario Outline: An endpoint that <what> gets no request that waits for a connection
    When the first VM connects to "e1" for a request, and "e1" <what> <when>
    Then "e1" gets no byte of the request
    And the request has not run and may go elsewhere

    Examples:
      | what                 | when       |
      | begins to leave      | before     |
      | begins to leave      | right then |
      | leaves without a word | before     |
      | starts again         | before     |

  # Guards against requests that reached an endpoint after it had left, from a VM that had
  # heard nothing of the registry for as long.
  Scenario: A VM asks the registry first if it has heard nothing of it for 2 s
    When the first VM has heard nothing for 2000 ms, and sends a request to "e1", which has begun to leave
    Then the request has not run and may go elsewhere

  Scenario: An endpoint that stays gets the request that waited for a connection
    When the first VM connects to "e1" for a request, and "e1" stays before
    Then "e1" gets the request

  Scenario Outline: Values of the header
    Then an answer with "Server-Leaving: <value>" is read as <result>

    Examples:
      | value | result  |
      | 1     | leaving |
      | 0     | staying |
      | yes   | invalid |
      | 1, 1  | invalid |
