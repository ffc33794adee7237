Feature: Declarations made ready for one machine
  Addresses and keys are local; all else is as declared.

  Scenario: A deployment is read, changed and written
    Given a bench deployment with endpoint "e1" of data centre "dc-1" in team "north"
    When the bench sets the address of "e1" to "127.0.0.1:4711" and writes the tree
    Then the written bench branch "north" has endpoint "e1" at "127.0.0.1:4711"
    And the written bench branch "north" knows the digest of its organisation's key

  Scenario: An unknown deployment
    Then reading the bench deployment "nowhere" fails
