Feature: Claims on idempotency keys
  A key is held by at most one request, and only after its commit is certain.

  Background:
    Given a claims table

  Scenario: The first caller holds the key and the second sees the holder
    When claims VM "a" claims "k"
    Then claims VM "a" holds it
    When claims VM "b" claims "k"
    Then claims VM "b" sees the claim of "a"

  Scenario: Of two callers in one process only one holds the key
    When claims VM "a" claims "k" twice at once
    Then exactly one of the two holds it

  Scenario Outline: A commit that went wrong is settled by reading back
    Given the claims table's next commits go "<faults>"
    When claims VM "a" claims "k"
    Then claims VM "a" holds it
    And the claim's row says "claimed" by "a"

    Examples:
      | faults                           |
      | lost_reply                       |
      | lost_write                       |
      | rate_limited rate_limited        |
      | lost_write lost_reply lost_write |
      | lost_reply lost_reply            |

  Scenario: Somebody else won while the reply was lost
    Given the claims table's next commits go "lost_write"
    And claims VM "b" claims "k" before "a" reads back
    When claims VM "a" claims "k"
    Then claims VM "a" sees the claim of "b"

  Scenario: A table that is down refuses at once, as not run
    Given the claims table is down
    When claims VM "a" claims "k" with all the time in the world
    Then claims VM "a" is refused as not run

  Scenario: A claim that is not settled in time is freed behind the caller's back
    Given the claims table does not answer
    When claims VM "a" claims "k" with 20 ms
    Then claims VM "a" is refused as not run
    When the claims table answers again
    Then the claim's row says "released" by "a" or is absent
    And claims VM "b" can claim "k"

  Scenario: A write that arrives after its claim was given up holds nothing
    Given the claims table's next commits go "late_write"
    And the claims table goes down after that commit
    When claims VM "a" claims "k" with 20 ms
    Then claims VM "a" is refused as not run
    When the claims table is up again
    Then the claim's row says "released" by "a"
    When the late claim write arrives
    Then the claim's row says "released" by "a"
    And claims VM "b" can claim "k"

  Scenario: A caller who leaves while the claim is made frees it
    Given the claims table does not answer
    When claims VM "a" begins to claim "k" and its caller leaves
    And the claims table answers again
    Then the claim's row says "released" by "a" or is absent

  Scenario Outline: The end of a claim is recorded, whatever the table does
    When claims VM "a" claims "k"
    And the claims table's next commits go "<faults>"
    And the claim is settled as "<state>" with answer "object-1"
    Then the claim's row says "<state>" by "a"

    Examples:
      | state    | faults                      |
      | done     | fine                        |
      | failed   | down down                   |
      | unknown  | lost_reply                  |
      | released | lost_write lost_reply down  |

  Scenario: A reservation for a job stays when its caller gives up
    Given the claims table does not answer
    When claims VM "a" reserves "k" for job "j1" with 20 ms
    Then claims VM "a" is refused as not run
    When the claims table answers again
    Then the claim's row says "claimed" by "a"

  Scenario: Many claims share few commits
    When claims VM "a" claims 200 keys at once
    Then all 200 claims are held after at most 3 commits

  Scenario: Rows past their retention are swept
    When claims VM "a" claims "k"
    And the claim is settled as "done" with answer "object-1"
    Then the claim's row says "done" by "a"
    When the claims are swept at once
    Then the claim's row says "done" by "a"
    And the claim's kept answer is present
    When the claims are swept after their retention
    Then the claim's row is absent
    And the claim's kept answer is absent

  Scenario: Whatever fails, no key is ever held twice
    Then random claims under random faults never hold a key twice
