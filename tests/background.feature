Feature: Tasks that run beside the requests

  # Guards against VMs that went on for the rest of their life without a task that an
  # unexpected error had ended once.
  Scenario Outline: A task that <ends> runs again
    When a task is to be kept running that <ends> twice
    Then it runs for the third time within 1000 ms, and 2 failures are logged
    And it is cancelled with all tasks

    Examples:
      | ends                                       |
      | raises an error                            |
      | returns                                    |
      | waits for something that another cancelled |
