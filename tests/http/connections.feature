Feature: What a VM holds for all its callers together

  Background:
    Given callers whose 3 connections may take 100 bytes together

  # Guards against refusing whoever comes last, while others stay without progress.
  Scenario: The request that has made no progress for longest is refused
    When "a" sends 40 bytes of a request
    And "b" sends 40 bytes of a request
    And "a" sends 10 bytes of a request
    And "c" sends 40 bytes of a request
    Then "b" is refused
    And 90 bytes are held

  Scenario: A complete request is kept
    When "a" sends a request of 60 bytes
    And "b" sends 60 bytes of a request
    Then "b" is refused
    And 60 bytes are held

  Scenario: A caller that leaves makes room
    When "a" sends a request of 60 bytes
    And "a" leaves
    And "b" sends 60 bytes of a request
    Then nobody is refused

  Scenario: A new connection closes the one that has been idle for longest
    When "a" sends a request of 10 bytes
    And "b" connects
    And "c" connects
    And "d" connects
    Then "b" is refused

  Scenario: A new connection is refused beside complete requests
    When "a" sends a request of 10 bytes
    And "b" sends a request of 10 bytes
    And "c" sends a request of 10 bytes
    And "d" connects
    Then nobody is refused
    And "d" has no connection
