Feature: Whether an endpoint has ended, or only lost a connection
  Harmless requests lose connections for many reasons; only a proven end counts.

  Background:
    Given an endpoint that a request was sent to

  Scenario Outline: What counts as an end
    When the answer breaks off since "<what>"
    Then <verdict> is reported

    Examples:
      | what                                               | verdict |
      | the endpoint is gone                               | an end  |
      | the endpoint still listens                         | nothing |
      | the endpoint was leaving and is gone               | nothing |
      | the endpoint was taken from the list and is gone   | nothing |
      | the endpoint cannot be reached                     | nothing |

  Scenario: An endpoint that is back before anybody looked is known by its start
    When the answer breaks off since "the endpoint still listens"
    And the registry shows another start of it
    Then an end is reported

  Scenario: An endpoint under another name at the same address is another start
    When the answer breaks off since "the endpoint still listens"
    And the registry shows another endpoint at its address
    Then an end is reported

  Scenario: A start that comes long after the break has another reason
    When the answer breaks off since "the endpoint still listens"
    And 11 s go by for the watch
    And the registry shows another start of it
    Then nothing is reported

  Scenario: A request does not wait long for an endpoint that does not answer
    When the answer breaks off since "the endpoint cannot be reached"
    Then the request waited at most 200 ms

  Scenario Outline: A request that was given up is among those of a later end
    When a request runs at the endpoint
    And the request there "<left>"
    And the registry tells that "<then>"
    Then <verdict> is reported

    Examples:
      | left                     | then                                | verdict |
      | goes on                  | the endpoint's entry is gone        | an end  |
      | is left unanswered       | the endpoint's entry is gone        | an end  |
      | is left unanswered       | another start of it is shown        | an end  |
      | is left unanswered       | the endpoint leaves and is then gone | nothing |
      | is answered              | the endpoint's entry is gone        | nothing |
      | is refused as not run    | the endpoint's entry is gone        | nothing |

  Scenario: What is kept in mind of requests that were given up is bounded
    When 6000 requests are left unanswered there
    Then at most 5000 of them are kept in mind
