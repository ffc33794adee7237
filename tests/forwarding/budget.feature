Feature: Retry budget and routing
  All VMs together stay within the retry allowance in any window.

  Scenario: A starting VM has one retry
    Given 8 VMs with a retry ratio of 0.2 and a slack of 56 in 10 s
    Then all VMs together may retry 8 times now

  Scenario: The slack refills, and retries stay within the allowance of a window
    Given 8 VMs with a retry ratio of 0.2 and a slack of 56 in 10 s
    When 30 s pass
    Then all VMs together retry 30 to 56 times in the next 10 s

  Scenario: Requests earn retries
    Given 1 VMs with a retry ratio of 0.2 and a slack of 0 in 10 s
    When every VM spends its budget and sends 100 requests
    Then all VMs together may retry 1 times now

  Scenario: The longest matching path prefix decides
    Given the routes
      | name  | host         | prefix     |
      | all   | shop.example | /          |
      | part  | shop.example | /a/        |
      | inner | shop.example | /a/b/      |
      | other | else.example | /a/b/c/    |
    Then host "shop.example" and path "/a/b/c/d" match route "inner"
    And host "SHOP.example:8080" and path "/a/bc" match route "part"
    And host "shop.example" and path "/x" match route "all"
    And host "third.example" and path "/a/" match no route

  Scenario: Weights split the requests, and one request id always gets the same service
    Given a route split 90 to 10 between "large" and "small"
    Then of 2000 requests 100 to 300 go to "small"
    And a request id goes to the same service each time
