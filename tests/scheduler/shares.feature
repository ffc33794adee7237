Feature: Shares of slot time
  Load: organisations of one rank ask for more slot time than there is.

  Scenario: What an organisation does not use is divided by weight among the others
    Given 12 slots and the weights
      | organisation | weight |
      | heavy        | 3      |
    When the organisations ask for slots in rank 1
      | organisation | slots |
      | small        | 1     |
      | heavy        | 30    |
      | light        | 30    |
    Then the share of "heavy" is three times that of "light"
    And "heavy,light" are beyond their share, "small" is not
    And the next request of "small" is within its share, of "light" beyond

  Scenario Outline: Requests are not classified where nothing is contended
    Given 12 slots and no weights
    When the organisations ask for slots in rank 1
      | organisation | slots   |
      | first        | <first> |
      | second       | <other> |
    Then no rank is contended
    And the next request of "first" is within its share, of "second" within

    Examples: demand that fits, and one organisation alone
      | first | other |
      | 8     | 3     |
      | 30    | 0     |

  Scenario: A more urgent rank takes its slots first
    Given 12 slots and no weights
    When the organisations ask for slots in rank 0
      | organisation | slots |
      | first        | 4     |
      | second       | 4     |
    And the organisations ask for slots in rank 1
      | organisation | slots |
      | first        | 3     |
      | second       | 3     |
    Then only rank 1 is contended

  # Callers of these hold a part of an answer, or have been charged already.
  Scenario: Retries and answers that have begun are never beyond the share
    Given 12 slots and no weights
    When the organisations ask for slots in rank 1
      | organisation | slots |
      | large        | 60    |
      | small        | 1     |
    Then a retry and a begun answer of "large" are within its share

  Scenario: Slot time that was deducted for a refused request is returned
    Given 12 slots and no weights
    When the organisations ask for slots in rank 1
      | organisation | slots |
      | large        | 60    |
      | small        | 1     |
    Then refused requests of "small" never exhaust its share

  Scenario: A request that is withdrawn and submitted again counts once
    Given 12 slots and no weights
    When a request of 5000 ms of "large" is submitted, withdrawn and submitted again
    Then the demand of "large" is 5 slots

  Scenario: Changes are reported at most once in a second
    Given 12 slots and no weights
    When the organisations ask for slots in rank 1
      | organisation | slots |
      | large        | 60    |
      | small        | 1     |
    Then one change names "1:large", and the next one the end of the contention
