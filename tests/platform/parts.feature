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
      | count | parts              | every_ms | for_s |
      | 1     | fatal,shared       | 300      | 16    |
      | 1     | shared,fatal       | 300      | 16    |
      | 1     | shared,fatal,other | 300      | 16    |
      | 6     | shared,fatal,other | 1500     | 16    |

  # Guards against knowledge that ends with the processes.
  Scenario: All VMs are killed while the part comes, and start again
    When sound requests come for 3 s
    And 1 requests with the parts "shared,fatal" come every 300 ms for 3 s
    And all VMs are killed and start again
    And 1 requests with the parts "shared,fatal" come every 300 ms for 14 s
    Then they reached endpoints at most 3 times later than 3 s after the fifth end
    And sound ones are served half as often from 6 s after the fifth end on

  # Guards against ends that are found out only from the registry.
  Scenario: Endpoints fall silent when they end under the part
    Given engines whose connections stay open when they end
    When sound requests come for 3 s
    And 1 requests with the parts "shared,fatal" come every 300 ms for 18 s
    Then they reached endpoints at most 3 times later than 3 s after the fifth end
    And sound ones are served half as often from 6 s after the fifth end on

  # Guards against blame on what is merely common.
  Scenario: Endpoints end by chance, and nothing is blamed
    When sound requests come for 3 s
    And an engine ends by chance each 500 ms for 8 s, beside sound requests
    And sound requests come for 2 s
    Then the VMs blame nothing
    And all sound requests of the last 1 s are served
