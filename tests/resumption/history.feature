Feature: Streams without a record go on where only one version can have begun them

  Background:
    Given a VM that has listed "v1" for 30000 ms

  Scenario: The only version for as long as streams last has begun them all
    Then a stream without a record is taken to have begun at "v1"

  # Guards against a guess at the version of streams that a version which has gone began.
  Scenario: A version that was listed lately may have begun it
    When "v1" is replaced by "v2"
    Then it is not known where a stream without a record began
    When 29000 ms pass
    Then it is not known where a stream without a record began
    When 1000 ms pass
    Then a stream without a record is taken to have begun at "v2"

  Scenario: Two versions side by side
    When "v2" is listed beside "v1"
    Then it is not known where a stream without a record began

  # Guards against a list that does not name a version yet that another VM has used.
  Scenario Outline: The list is read at once
    When the store <state>
    Then <what>

    Examples:
      | state                      | what                                                    |
      | lists "v2" too when asked  | it is not known where a stream without a record began   |
      | does not answer            | it is not known where a stream without a record began   |

  # Guards against another service that a route led to when the stream began.
  Scenario: The route has led to another service
    When the route has led there for 29000 ms
    Then it is not known where a stream without a record began

  # Guards against a VM that starts and takes what it sees first for all that there was.
  Scenario: A VM that has started learns from others what there was
    When another VM starts alone
    Then there it is not known where a stream without a record began
    When it is told what the first has seen
    Then there a stream without a record is taken to have begun at "v1"

  Scenario: A VM that has started learns of a version that has gone
    When "v1" is replaced by "v2"
    And another VM starts alone
    And it is told what the first has seen
    And 29000 ms pass
    Then there it is not known where a stream without a record began
