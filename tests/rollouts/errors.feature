Feature: Rollouts survive unexpected errors

  # Guards against rollouts that stop for good: the end of the task ended all trials in a
  # phase from which none starts again.
  Scenario: A trial goes on after an error in a tick
    Given a rollout whose trial is running
    When an unexpected error ends one of its ticks
    Then its trial runs 400 ms later
