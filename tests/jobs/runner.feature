Feature: Durable jobs
  After a job is accepted it ends with a whole answer or a truthful final
  state, and no job that must not be repeated is dispatched twice.

  Background:
    Given job VMs "a" and "b" on one platform

  Scenario: A job runs once and its answer is kept
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time
    And its body is deleted

  Scenario: Only its organisation sees a job
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer
    And organisation "others" finds no such job, no answer and nothing to cancel

  Scenario: The other VM runs what was accepted where nothing runs
    Given job VM "a" may run nothing
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer

  Scenario: Refusals put the job back and it is tried again
    Given the job scheduler refuses 5 times
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: A job under which endpoints end is given up, not queued again
    Given the job scheduler refuses it since endpoints end under it
    When a job is accepted on "a"
    Then the job ends as "failed" with outcome "not_run"
    And the job was refused once

  Scenario: A deadline that passes in the queue is a truthful end
    Given the job scheduler refuses for ever
    When a job is accepted on "a" with a deadline of 50 ms
    Then the job ends as "failed" with outcome "not_run"
    And the engine has run the job 0 times

  Scenario: A killed runner's stream is resumed, not run again
    Given the job engine answers slowly
    When a job is accepted on "a"
    And the job's stream has begun
    And job VM "a" is killed
    And the job engine answers
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: The new start of a killed runner's VM does not keep its jobs from others
    Given the job engine answers slowly
    When a job is accepted on "a"
    And the job's stream has begun
    And job VM "a" is killed
    And job VM "a" has started anew and goes on beating
    And the job engine answers
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: A runner killed before it dispatched leaves the job to others
    Given the job scheduler of "a" does not answer
    When a job is accepted on "a"
    And job VM "a" waits for a slot
    And job VM "a" is killed
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: A stream that the engine forgot ends as unknown
    Given the job engine answers slowly
    When a job is accepted on "a"
    And the job's stream has begun
    And job VM "a" is killed
    And the job engine forgets its streams
    Then the job ends as "unknown" with outcome "unknown"
    And the engine has run the job 1 time

  Scenario: Idempotent work is run again when its stream is forgotten
    Given the job engine answers slowly
    When an idempotent job is accepted on "a"
    And the job's stream has begun
    And job VM "a" is killed
    And the job engine forgets its streams
    And the job engine answers
    Then the job ends as "done" with its own answer
    And the engine has run the job 2 times

  Scenario: Idempotent work with a key is not run again
    Given the job engine answers slowly
    When an idempotent job with a key is accepted on "a"
    And the job's stream has begun
    And job VM "a" is killed
    And the job engine forgets its streams
    And the job engine answers
    Then the job ends as "unknown" with outcome "unknown"
    And the engine has run the job 1 time

  Scenario: An answer cut short is read again from the engine
    Given the job engine cuts the next 2 answers
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: A frozen runner that wakes finds that it lost the job
    Given job VM "a" freezes before it places a job
    When a job is accepted on "a"
    And job VM "a" is frozen
    Then the job ends as "done" with its own answer
    When job VM "a" wakes
    Then job VM "a" carries nothing
    And the engine has run the job 1 time

  Scenario: A runner that cannot record where it sends a job does not send it
    Given job VM "a" freezes before it places a job
    When a job is accepted on "a"
    And job VM "a" is frozen
    And the job table of "a" is down
    And job VM "a" wakes
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: A placement whose reply is lost is read back
    Given the job table of "a" goes "fine fine lost_reply"
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: The platform is away while the answer arrives
    Given the job engine answers slowly
    When a job is accepted on "a"
    And the job's stream has begun
    And the job platform goes down
    And the job engine answers
    And the job platform is up again
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: With the platform down nothing is accepted, and that is said
    Given the job platform goes down
    When a job is accepted on "a"
    Then the job is refused as "not_run"

  Scenario Outline: Acceptance is certain before it is said
    Given the job table of "a" goes "<faults>"
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

    Examples:
      | faults                |
      | lost_reply            |
      | lost_write            |
      | lost_write lost_reply |
      | late_write            |

  Scenario: A repeated key names the same job on any VM
    When a job with key "ab12" is accepted on "a"
    And the same job is accepted on "b"
    Then both acceptances name one job
    And the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: A key whose first VM died before its job existed can be used again
    Given job key "ab12" was reserved by a VM that is gone
    When a job with key "ab12" is accepted on "b"
    Then the job ends as "done" with its own answer

  Scenario: A key with another body is refused
    When a job with key "ab12" is accepted on "a"
    And another job with key "ab12" is accepted on "b"
    Then the job is refused as "not_run"

  Scenario: A key of a direct call is never run as a job
    Given job key "ab12" is held by a direct call
    When a job with key "ab12" is accepted on "b"
    Then the job's acceptance names the direct call's claim

  Scenario: A waiting job is cancelled
    Given the job scheduler of "a" does not answer
    And the job scheduler of "b" does not answer
    When a job is accepted on "a"
    And job VM "a" waits for a slot
    And the job is cancelled on "b"
    Then the job ends as "cancelled" with outcome "not_run"
    And the engine has run the job 0 times

  Scenario: A running job is cancelled at its engine
    Given the job engine answers slowly
    When a job is accepted on "a"
    And the job's stream has begun
    And the job is cancelled on "b"
    Then the job ends as "cancelled" with outcome "cut_short"

  Scenario: A planned stop hands over what waits and what runs
    Given the job engine answers slowly
    When a job is accepted on "a"
    And the job's stream has begun
    And job VM "a" drains for 20 ms and ends
    And the job engine answers
    Then the job ends as "done" with its own answer
    And the engine has run the job 1 time

  Scenario: Ended jobs leave the scanned rows and are deleted in the end
    When a job is accepted on "a"
    Then the job ends as "done" with its own answer
    When the jobs are tidied after their archive time
    Then no open job row is left
    And the job ends as "done" with its own answer
    When the jobs are tidied after their retention
    Then organisation "org" finds no such job, no answer and nothing to cancel

  Scenario: More jobs than one scan gives are all found
    When 1500 job rows are stored
    Then a scan of open jobs finds 1500

  Scenario: Whatever fails, no job is dispatched twice or lost
    Then random faults never run a job twice and never lose one
