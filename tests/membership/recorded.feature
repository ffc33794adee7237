Feature: Operators' marks of leaving endpoints outlive the VM that took them
  They are kept in the platform's table, from which delegates read them.

  Background:
    Given recorded marks of VM "a" and VM "b" in one table

  Scenario: A delegate elsewhere learns of a mark
    When VM "a" records that "e1" is leaving
    Then recorded marks make delegate "b" mark "e1"

  Scenario: A VM that is no delegate does not read the marks
    Given the recorded marks' VM "b" is no delegate
    When VM "a" records that "e1" is leaving
    Then recorded marks leave "b" without a mark

  Scenario: A mark is written when the platform is back
    Given the recorded marks' table is down for the next commit
    When VM "a" records that "e1" is leaving
    Then recorded marks make delegate "b" mark "e1"

  Scenario: A mark ends with its endpoint's declaration
    Given the recorded marks' endpoint "e1" is not declared
    When VM "a" records that "e1" is leaving
    Then recorded marks make delegate "b" mark "e1"
    When recorded marks are 61 s old
    Then recorded marks make delegate "b" clear "e1"

  Scenario: The VM that took the word takes it back with the declaration
    When VM "a" records that "e1" is leaving
    And the recorded marks' endpoint "e1" is declared no more
    Then recorded marks make "a" take the word for "e1" back
