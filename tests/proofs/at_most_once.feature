@processes
Feature: At most once, with real processes under faults
  A request that may run once is received by one endpoint once, whatever dies,
  freezes or is cut off, and "not run" is said only of what did not run.

  Scenario: Gateways are killed before, during and after the dispatch
    Given a cluster under proof with small engines
    When a gateway is killed while its keyed check waits in the queue
    And a gateway is killed while its keyed check streams
    And a gateway is killed after its keyed check has ended
    And each of these keys is repeated on two other VMs
    Then the check that had ended is answered again, whole
    And the check that was cut off is not said to have not run
    And all that was promised under proof holds

  Scenario: A gateway is frozen past its lease and woken
    Given a cluster under proof with small engines
    When a gateway is frozen while its keyed checks wait, stream and claim
    And all others have given it up and the keys are repeated
    And the frozen gateway wakes and its calls end
    And the keys are repeated once more
    Then all that was promised under proof holds

  Scenario: The table loses replies, is slow and is down
    Given a cluster under proof
    When keyed calls are repeated while the table loses replies
    Then each of these keys was answered whole
    When keyed calls are repeated while the table is slow
    And keyed calls are repeated while the table is down
    Then the calls while the table is down were refused as not run
    When the table is back and these keys are repeated
    Then each of these keys was answered whole
    And all that was promised under proof holds

  Scenario: A key is repeated in a data centre that is cut off
    Given a cluster under proof
    When keyed calls run and a data centre is cut off meanwhile
    And the keys are repeated on both sides of the cut
    And both sides have a scheduler and are given work that may run once
    Then no key was answered in the data centre that is cut off
    When the cut heals and the keys are repeated there
    Then each of these keys was answered whole
    And all that was promised under proof holds

  Scenario: Endpoints die in the middle and replies are lost
    Given a cluster under proof
    When engines die in the middle of checks with and without a key
    Then these checks ended as cut short
    When the engines are back and the keys are repeated
    Then these checks ended as cut short
    When catch submissions are under way and their endpoints die
    And the endpoints' replies to catch submissions are lost
    Then no catch submission that was received is said to have not run
    And all that was promised under proof holds

  Scenario: Drafts, tags and filings of the other deployment
    Given a cluster of Cedarline under proof
    When drafts, tags and filings are sent to a gateway with and without keys
    And that gateway is killed while they run and the table is down
    And the drafts, tags and filings are repeated while the table is down
    Then the repeats while the table is down were refused
    When the table of Cedarline is back and all of them are repeated
    Then no draft, tag or filing that ran is said to have not run
    And all that was promised under proof holds
