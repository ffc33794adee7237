@processes
Feature: A part of prompts that ends every endpoint which begins an answer on it
  Seen: requests with one part in common came at any VM, no two alike; 30 endpoints ended
  under them, 14 of these sends came after the fifth end.

  How it came about: each request had a fingerprint of its own, so that none of them had
  three ends, while all of them together had thirty.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
      | e1       | pool    |
      | e2       | pool    |
      | e3       | pool    |
      | e4       | pool    |
      | e5       | pool    |
      | e6       | pool    |
    And engines that end under a part of prompts and are back after 1.5 s
    And 3 platform VMs

  # Guards against judging by whole requests only, which never come again.
  Scenario Outline: Requests with the part are kept from the others, sound ones are not
    When sound requests come for 3 s
    And <count> requests with the parts "<parts>" come every <every_ms> ms for <for_s> s
    Then they reached endpoints at most 3 times later than 3 s after the fifth end
    And sound ones are served half as often from 6 s after the fifth end on

    Examples:
      | count | parts        | every_ms | for_s |
      | 1     | shared,fatal | 300      | 16    |
