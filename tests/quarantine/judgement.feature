Feature: Which requests are to blame for the ends of endpoints
  All requests of an endpoint are among those that it ended under. The guilty one is
  beside each end; the others are there by chance, or because both were sent on.

  Scenario Outline: Three ends are enough, unless another request was beside them
    Given the ends of endpoints
      | request  | endpoints  |
      | guilty   | <guilty>   |
      | harmless | <harmless> |
    Then the quarantined requests are "<quarantined>"

    Examples:
      | guilty      | harmless    | quarantined           | why                              |
      | a, b        | a           | nobody           | two ends may be chance           |
      | a, b, c     | a           | guilty           | the other one was beside one     |
      | a, b, c     | a, b        | guilty           | the other one has fewer          |
      | a, b, c     | a, b, c     | nobody           | it may be either of them         |
      | a, b, c, d  | a, b, c     | guilty           | it explains the other's          |
      | a, b, c, d  | b, c, d     | guilty           | it explains the other's          |
      | a, b, c, d  | a, b, c, d  | guilty, harmless | a doubt must not cost the floor  |
      | a, b, c     | c, d, e     | guilty, harmless | each explains two of its own     |
      | a, b, c     | b, c, d     | nobody           | one of them, or a third          |

  Scenario: A harmless request with fewer ends than the guilty one beside it is never quarantined
    Then no order of ends lets a harmless request with fewer ends be quarantined

  Scenario: What is explained does not make a request a suspect
    Given the ends of endpoints
      | request  | endpoints           |
      | guilty   | a, b, c, d, x, y, z |
      | harmless | a, b, c             |
    Then the suspects are "nobody"
    When "harmless" is reported under the end of "e"
    Then the suspects are "nobody"
    When "harmless" is reported under the end of "f"
    Then the suspects are "harmless"
    And the quarantined requests are "guilty"

  Scenario: A whole answer clears, and what is told again later counts no more
    Given the ends of endpoints
      | request | endpoints |
      | common  | a, b      |
    When "common" is cleared
    And "common" is reported under the end of "a"
    Then the suspects are "nobody"
    When "common" is reported under the end of "c"
    And "common" is reported under the end of "d"
    Then the suspects are "common"
    And the quarantined requests are "nobody"

  Scenario: Reports count for an hour
    Given the ends of endpoints
      | request | endpoints |
      | guilty  | a, b, c   |
    Then the quarantined requests are "guilty"
    When the reports grow 3601 s older
    Then the quarantined requests are "nobody"

  Scenario: The book is bounded
    When 25000 requests are each reported under one end
    Then the book holds 20000 reports

  Scenario Outline: Requests are the same by caller, method, path, query and body
    Then a request that differs in its <part> has another fingerprint
    And two requests that ask for the same have the same fingerprint

    Examples:
      | part         |
      | organisation |
      | method       |
      | target       |
      | body         |
