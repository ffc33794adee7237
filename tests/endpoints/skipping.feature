Feature: An answer to another request does not end an exchange

  # Guards against a request whose own answer is lost as a late one comes before it.
  Scenario Outline: The own answer behind <before> is read whole
    Given an endpoint that sends <before> before its answer
    When the answer that names the request is read
    Then it is "own" and complete
    And its connection is not used again

    Examples:
      | before                            |
      | another's answer                  |
      | another's answer in pieces        |
      | another's chunks                  |
      | another's answer without a body   |
      | 8 answers of others               |

  # Guards against a VM that reads on for as long as an endpoint sends.
  Scenario Outline: An exchange behind <before> ends as broken at once
    Given an endpoint that sends <before> before its answer
    When the answer that names the request is read
    Then the exchange has failed as broken
    And the endpoint is cut off after 16 MB at most, socket buffers included

    Examples:
      | before                            |
      | 9 answers of others               |
      | another's answer up to its close  |
      | another's body without end        |
      | another's chunks without end      |
      | another's head without end        |
      | what is not HTTP                  |

  # Guards against a body of another request that is taken for a head: an answer to HEAD
  # has the length of a body that does not follow.
  Scenario: HEAD does not wait behind another's answer
    Given an endpoint that sends another's answer before its answer
    When the answer to HEAD that names the request is read
    Then the exchange has failed as broken
