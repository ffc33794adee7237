@processes
Feature: Jobs outlive their VM, with real processes
  After a 202 the job ends with its whole answer, dispatched once, whatever
  happens to the VM that runs it.

  Background:
    Given a job cluster

  Scenario Outline: The runner fails while the stream runs
    When a trip summary is handed in and its stream runs
    And the job's VM is <fault>
    Then another VM ends the job with its whole answer
    And the job was dispatched once
    When the job's VM is back
    Then the job was dispatched once
    And the job's answer is still the same

    Examples:
      | fault                                |
      | killed                               |
      | frozen                               |
      | killed while the platform is away    |

  Scenario: The platform is away when the answer is whole
    When a trip summary is handed in and its stream runs
    And the job's platform is away until the stream has ended
    Then another VM ends the job with its whole answer
    And the job was dispatched once

  Scenario: A planned stop of the runner cuts nothing off
    When a trip summary is handed in and its stream runs
    And the job's VM is asked to stop
    Then the job's VM ends with exit code 0
    And another VM ends the job with its whole answer
    And the job was dispatched once
