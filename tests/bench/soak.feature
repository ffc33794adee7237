Feature: The soak of real VMs and of what endpoints say

  Scenario: A seed always draws the same series
    Then the soak draws the same from seed 7 twice, and another series from seed 8

  Scenario Outline: A broken rule is found
    Given a soaked endpoint that <says>
    When <requests> requests of VM 0 reach it from 4 s on
    Then the soak finds <broken>

    Examples:
      | says                             | requests | broken  |
      | names a limit of 1 a second      | 11       | nothing |
      | names a limit of 1 a second      | 12       | LIMIT   |
      | says that it leaves              | 20       | nothing |
      | says that it leaves              | 30       | DRAIN   |
      | turns the first away for 3 s     | 7        | nothing |
      | turns the first away for 3 s     | 9        | BUDGET  |
      | runs one twice that may run once | 2        | TWICE   |
      | runs one that is refused         | 2        | REFUSED |

  Scenario: A VM that was not in order is excused
    Given a soaked endpoint that says that it leaves
    And VM 0 was killed after 4 s
    When 30 requests of VM 0 reach it from 4 s on
    Then the soak finds nothing

  @processes
  Scenario: A short soak breaks no rule
    Then a soak of 30 s with seed 1 breaks no rule
