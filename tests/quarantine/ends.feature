Feature: Whether an endpoint has ended, or only lost a connection
  Harmless requests lose connections for many reasons; only a proven end counts.

  Background:
    Given an endpoint that a request was sent to

  Scenario Outline: What counts as an end
    When <what> and the answer breaks off
    Then <verdict> is reported

    Examples:
      | what                                               | verdict |
      | the endpoint is gone                               | an end  |
      | the endpoint still listens                         | nothing |
      | the endpoint was leaving and is gone               | nothing |
      | the endpoint was taken from the list and is gone   | nothing |
      | the endpoint cannot be reached                     | nothing |

  Scenario: An endpoint that is back before anybody looked is known by its start
    When the endpoint still listens and the answer breaks off
    And the registry shows another start of it
    Then an end is reported

  Scenario: An endpoint under another name at the same address is another start
    When the endpoint still listens and the answer breaks off
    And the registry shows another endpoint at its address
    Then an end is reported

  Scenario: A start that comes long after the break has another reason
    When the endpoint still listens and the answer breaks off
    And 11 s go by for the watch
    And the registry shows another start of it
    Then nothing is reported

  Scenario: A request does not wait long for an endpoint that does not answer
    When the endpoint cannot be reached and the answer breaks off
    Then the request waited at most 200 ms
