Feature: Parts of prompts that crash endpoints
  A part is known by its id, whatever else a request holds.

  Scenario Outline: Which parts of a prompt may be shared with others
    Then the parts that a prompt "<described>" may share are "<parts>"

    Examples:
      | described                  | parts    | why                              |
      | 5c1e:800,91bd:410,e4:250   | 5c1e 91bd | the last one is the request's   |
      | e4402b7d:250               | none     | the only one is the last         |
      | 5C1E:800 , e4:250          | 5c1e     | digits and spaces mean the same  |
      | 5c1e,e4:250                | none     | it has no length                 |
      | 5c1e:800,,e4:250           | none     | one is empty                     |
      | xyz:800,e4:250             | none     | the id is no hexadecimal number  |
      |                            | none     | the prompt is not described      |

  # Guards against memory that callers could fill.
  Scenario: Parts of prompts are bounded in number and length
    Then at most 16 parts of a prompt are known
    And a part whose id has more than 64 digits is not known

  Scenario: A part has another fingerprint at another service, and no request has it
    Then the part "5c1e" has another fingerprint at another service
    And no fingerprint of a part is that of a request

  # Guards against requests that are never repeated, so that none has three crashes.
  Scenario Outline: Crashes count against the parts that requests had in common
    Given reports on the parts "bad" under "<bad>" and "shared" under "<shared>"
    Then requests with the parts "<refused>" are refused
    And requests with the parts "<let through>" are let through

    Examples:
      | bad     | shared  | refused         | let through | why                       |
      | a,b     | a       | nothing         | bad         | two crashes may be chance |
      | a,b,c   | a,b     | bad; bad,shared | shared      | the other one has fewer   |
      | a,b,c   | a,b,c   | bad,shared      | shared; bad | these tell them apart     |
      | a,b,c,d | a,b,c   | bad; bad,shared | shared      | it explains the other's   |
      | a,b,c   | b,c,d   | nothing         | bad; shared | one of them, or a third   |

  Scenario: A request that is repeated has its own parts beside it at each crash
    Given reports on the request "guilty" and the part "bad" under "a,b,c"
    Then the request "guilty" with the part "bad" is refused
    And requests with the parts "bad" are let through
    When the part "bad" is reported under "d"
    Then requests with the parts "bad" are refused

  Scenario: The order of reports and answers makes no difference
    Then no order of the same reports and clears makes another judgement

  # Guards against blame on parts that all requests of a caller share.
  Scenario: An answer on a part clears it for all VMs, and in the record
    Given a metadata store and the VMs "a", "b" and "c" with a quarantine each
    When "a" sees an answer to a request with the parts "shared"
    And "b" finds that 4 endpoints ended under requests with the parts "shared,bad"
    And 1000 ms go by
    Then "a" and "c" refuse requests with the parts "bad", but not "shared"
    And the record holds 8 report
    When "a" and "b" have heard of it, and all VMs end
    And the VM "d" starts with a quarantine
    Then "d" and "d" refuse requests with the parts "bad", but not "shared"

  Scenario: An answer that comes after the crashes clears as well
    Given a metadata store and the VMs "a", "b" and "c" with a quarantine each
    When "b" finds that 4 endpoints ended under requests with the parts "shared,bad"
    And 500 ms go by
    And "a" sees an answer to a request with the parts "shared"
    And 500 ms go by
    Then "b" and "c" refuse requests with the parts "bad", but not "shared"

  Scenario: What is known of answered parts is bounded, and ends after a while
    When 30000 parts are answered
    Then 20000 of them are trusted, the last ones
    And none of them is trusted 20 s later

  # Guards against a sound part that stays blamed as nothing with it can be answered.
  Scenario: One in many of the requests that a part holds back is let through
    Given a gate before a scheduler
    And three endpoints ended under requests with the parts "shared"
    When 1200 requests with the parts "shared" ask for slots
    Then 2 of them are let through, as suspects
    When an answer on "shared" comes
    Then all of 10 requests with the parts "shared" are let through

  # Guards against one message from each VM to each other one at every crash.
  Scenario Outline: A VM that knows a reported part to be sound tells it if nobody else does
    Given a gate before a scheduler
    And an answer on "shared" comes
    When another VM reports 3 crashes under "shared", and <then>
    Then the VM has told <told> times that "shared" is sound
    And requests with the parts "shared" are let through there

    Examples:
      | then              | told |
      | nobody clears it  | 1    |
      | a third clears it | 0    |
