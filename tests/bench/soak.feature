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

  Scenario Outline: Streams that callers resume are checked
    Given soaked streams that were resumed at VM 1, of which <what>
    Then the soak finds <broken>

    Examples:
      | what                                                     | broken  |
      | all go on at their version                               | nothing |
      | one goes on at another version                           | ORDER   |
      | one gets an event twice                                  | ORDER   |
      | 5 of 12 go on                                            | LOST    |
      | 6 of 12 go on                                            | nothing |
      | 5 of 11 go on                                            | nothing |
      | 5 of 12 go on while VM 1 was not in order                | nothing |
      | 5 of 12 go on with one endpoint of their version         | nothing |

  # Guards against a soak that ends with its own error: a VM waited for the store, and
  # the next disturbance ended it before it was ready.
  @processes
  Scenario: The soak plays a series that overlaps
    Then a soak in which a VM is killed again and again while it starts breaks no rule

  @processes
  Scenario: A short soak breaks no rule
    Then a soak of 30 s with seed 1 breaks no rule
