Feature: Chaos checks tell each broken promise
  Made-up records of a run with one fault in them, one for each promise.

  Scenario: A run without a fault breaks nothing
    Given the chaos records of a keyed call that ran once
    Then the chaos checks find nothing

  Scenario: What is sent while a call's own gateway is frozen outlasts nobody
    Given the chaos records of a call that a lower tier passed while its gateway was frozen
    Then the chaos checks find nothing

  Scenario Outline: <promise>
    Given the chaos records of <what>
    Then the chaos checks find one broken "<promise>"

    Examples:
      | promise           | what                                                     |
      | at_most_once      | a keyed call that ran twice                              |
      | at_most_once      | an unkeyed call of work not idempotent ran twice         |
      | not_run_is_true   | a call that was told not_run and ran                     |
      | own_whole_answer  | a call that got another's answer                         |
      | own_whole_answer  | a call that was cut without a word                       |
      | own_whole_answer  | a call that got an untyped refusal                       |
      | one_version       | a call whose answer holds events of two versions         |
      | never_lost        | a job that did not end                                   |
      | never_lost        | a job that is done with a cut answer                     |
      | never_lost        | a job that was told not_run and ran                      |
      | tier_order        | a refused call that a lower tier outlasted               |
      | tier_order        | a call that a lower tier passed before its gateway froze |
      | tier_order        | a call that a lower tier passed while another was frozen |
      | leaving           | a run 3.5 s after its endpoint began to leave            |
      | settings_order    | a VM whose settings went back                            |
      | settings_race     | two operators who replaced the same version              |
      | settings_in_force | a VM that never took an accepted version                 |
      | planned_stop      | a call that was cut by a planned stop                    |

  @processes
  Scenario: A short run over real processes keeps all promises
    When "python -m bench.chaos --seed 7 --seconds 8" is run
    Then its last line begins with "promises_broken=0 requests="
