@processes
Feature: Callers beyond the limits end no VM
  Their requests may be refused and their connections closed.

  Background:
    Given a platform with the endpoints
      | endpoint | service |
      | p1       | portal  |
    And callers may send bodies of 4194304 bytes and wait for 20000 ms
    And a platform VM with 160 MB of memory and 400 descriptors

  Scenario Outline: <count> callers send <what>, and stay
    When <count> callers send "<what>", and stay
    Then the VM lives, and has never used over 160 MB
    And it has at most 400 descriptors open
    And an ordinary request is answered

    Examples:
      | count | what                       |
      | 250   | a head that does not end   |
      | 100   | a head over the limit      |
      | 100   | a header that does not end |
      | 10    | trailers                   |
      | 60    | large chunks               |
      | 60    | small chunks               |
      | 20    | requests in one packet     |
      | 800   | nothing                    |

  # Guards against bytes that are parsed for as long as they come.
  Scenario Outline: The VM stops to read <what>
    When 1 callers send "<what>", and stay
    Then the VM lives, and has never used over 160 MB
    And it has taken at most 32 MB
    And an ordinary request is answered

    Examples:
      | what              |
      | empty lines       |
      | a chunk extension |

  Scenario: A request at the limits is served in calm
    When a caller sends a head of 16000 bytes and a body of 4194304
    Then an ordinary request is answered
    And the large request was answered, and ran with its whole body
