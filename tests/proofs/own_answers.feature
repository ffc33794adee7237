@processes
Feature: Own and whole answers, with real processes
  Each caller gets exactly the bytes of its own answer, or a clear typed end,
  and no organisation reaches another's request, key or job.

  Scenario: Interleaved answers of all kinds are own and whole
    Given a cluster with fast engines under proof
    When 500 streams of all manners are interleaved while a gateway is killed
    Then no interleaved answer is foreign, run twice or falsely denied
    And whatever no fault touched was answered whole
    And streams were resumed, cancelled, late and run as jobs

  Scenario: Strangers reach nothing that is not theirs
    Given a cluster under proof
    When an organisation's keyed check streams and its job runs
    And a stranger repeats the key and body of the check on another VM
    Then the stranger's check is a run of its own
    When the owner uses its key for another check
    Then that check is refused as not run, because the key is used
    When a stranger reads, reads the answer of and cancels the job
    Then the stranger hears that there is no such job
    And the job of its owner ends whole
    When a stranger repeats the job's key and body as a job
    Then the stranger's job is another one
    When both submit a catch under the same key
    Then the service saw two keys
    When a stranger sends the id of the running check
    Then the stranger's answer has an id of its own
    When keys that are wrong, empty and of another kind are tried
    Then all of them are refused as unauthenticated
