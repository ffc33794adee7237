Feature: Operators' marks of leaving endpoints survive the VM that received them
  They are stored in the platform's table, which delegates poll.

  Background:
    Given recorded marks of VM "a" and VM "b" in one table

  Scenario: A delegate elsewhere learns of a mark
    When VM "a" records that "e1" is leaving
    Then polling the table makes delegate "b" mark "e1"

  Scenario: A VM that is no delegate does not read the marks
    Given the recorded marks' VM "b" is no delegate
    When VM "a" records that "e1" is leaving
    Then polling the table leaves "b" without a mark

  Scenario: A mark is written when the platform is back
    Given the recorded marks' table is down for the next commit
    When VM "a" records that "e1" is leaving
    Then polling the table makes delegate "b" mark "e1"

  Scenario: A mark is cleared after its endpoint's declaration is removed
    Given the recorded marks' endpoint "e1" is not declared
    When VM "a" records that "e1" is leaving
    Then polling the table makes delegate "b" mark "e1"
    When the recorded marks are 61 s old
    Then polling the table makes delegate "b" clear "e1"

  Scenario: The VM that received the mark clears it with the declaration
    When VM "a" records that "e1" is leaving
    And the recorded marks' endpoint "e1" is no longer declared
    Then polling the table makes "a" clear its own mark of "e1"
