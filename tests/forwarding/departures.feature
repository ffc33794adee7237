Feature: Endpoints that say in an answer that they leave
  Their word counts at once and for all VMs, whatever the registry lists.

  Background:
    Given two VMs that know the endpoint "e1", started at 1000

  Scenario: The word of one VM is enough for both
    When the first VM hears that "e1" leaves
    Then "e1" gets nothing from the first VM
    And "e1" gets nothing from the second VM
    And the second VM was told once

  Scenario: The registry's next list changes nothing
    When the first VM hears that "e1" leaves
    And the registry lists "e1", started at 1000
    Then "e1" gets nothing from the first VM

  Scenario: The word outlasts a gap in the registry
    When the first VM hears that "e1" leaves
    And the registry lists nothing
    And the registry lists "e1", started at 1000
    Then "e1" gets nothing from the first VM

  Scenario: A new start is not bound by the word of the one before
    When the first VM hears that "e1" leaves
    And the registry lists "e1", started at 2000
    Then "e1" gets requests from the first VM
    And "e1" gets requests from the second VM
    And no VM repeats the word

  Scenario: A word that comes late from another VM does not bind a new start
    When the registry lists "e1", started at 2000
    And the second VM is told that "e1", started at 1000, leaves
    Then "e1" gets requests from the second VM

  Scenario Outline: What the header may say
    Then an answer with "Server-Leaving: <value>" says <word>

    Examples:
      | value | word                 |
      | 1     | that it leaves       |
      | 0     | nothing              |
      | yes   | what can't be read   |
      | 1, 1  | what can't be read   |
