Feature: The budget of repeated sends
  All VMs together stay within the allowance in any window.

  Scenario: A starting VM has one repeat
    Given 8 VMs with retries of 0.2 and a slack of 56 in 10 s
    Then all VMs together may repeat 8 times now

  Scenario: The slack comes anew, and never more than is allowed passes in a window
    Given 8 VMs with retries of 0.2 and a slack of 56 in 10 s
    When 30 s pass
    Then all VMs together repeat 30 to 56 times in the next 10 s

  Scenario: Requests earn repeats
    Given 1 VMs with retries of 0.2 and a slack of 0 in 10 s
    When every VM spends what it has and sends 100 requests
    Then all VMs together may repeat 1 times now

  Scenario: The longest prefix of the host counts
    Given the routes
      | name  | host         | prefix     |
      | all   | shop.example | /          |
      | part  | shop.example | /a/        |
      | inner | shop.example | /a/b/      |
      | other | else.example | /a/b/c/    |
    Then "shop.example" and "/a/b/c/d" lead to "inner"
    And "SHOP.example:8080" and "/a/bc" lead to "part"
    And "shop.example" and "/x" lead to "all"
    And "third.example" and "/a/" lead nowhere

  Scenario: Weights split the requests, and one id always goes the same way
    Given a route split 90 to 10 between "large" and "small"
    Then of 2000 requests 100 to 300 go to "small"
    And a request id goes to the same service each time
