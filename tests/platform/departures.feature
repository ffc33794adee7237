@processes
Feature: Endpoints that leave while other things fail
  A request is sent to no endpoint whose entry has said for 2 s that it leaves, or has been
  gone for as long, except by a VM that has itself failed in the last 3 s.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | p2       | portal  |
      | p3       | portal  |
      | e1       | pool    |
      | e2       | pool    |
      | e3       | pool    |

  # Guards against requests that reached endpoints up to 10 s after they had left: views of
  # an earlier moment replaced later ones, or outlived them.
  Scenario: Endpoints leave one after the other while VMs and calls of the store fail
    Given 4 VMs that callers ask 60 times a second for 10 s
    When an endpoint leaves each 900 ms, with or without a word, and another one comes
    And each third read of the store fails
    And VM 1 is killed after 3 s and started again
    And VM 2 is frozen from 5 s to 7.5 s
    Then no VM in order has sent to an endpoint later than 2 s after its entry said so
    And 10 endpoints or more have left, 6 of them after requests

  # VMs that nobody counts as failed: their processes get no processor for a moment.
  Scenario: Endpoints leave one after the other while VMs stand still for a moment
    Given 4 VMs that callers ask 120 times a second for 10 s
    When an endpoint leaves each 900 ms, with or without a word, and another one comes
    And each third read of the store fails
    And each VM in turn stands still for 1500 ms, the next one 1000 ms after it
    Then no VM in order has sent to an endpoint later than 2 s after its entry said so
    And 9 endpoints or more have left, 6 of them after requests

  # Guards against endpoints that were taken for ready again with a store that came back from
  # a copy of before.
  Scenario: Endpoints that leave are not used again as the store comes back from a copy
    Given 2 VMs that callers ask 60 times a second for 5 s
    When "p1" and "e1" begin to leave after 1 s, and the store comes back from a copy
    Then no VM in order has sent to an endpoint later than 2 s after its entry said so
    And 2 endpoints or more have left, 2 of them after requests
