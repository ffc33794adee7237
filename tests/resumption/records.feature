Feature: Records of where streams began

  Scenario: A record is found until its caller can't resume the stream any more
    Given records with room for 10
    When 1 stream is recorded for 15000 ms
    Then its record is found after 14000 ms and not after 15000 ms

  # Guards against a table that grows with the number of streams.
  Scenario: The oldest records are dropped first
    Given records with room for 10
    When 25 streams are recorded for 15000 ms
    Then only the last 10 records are found

  Scenario: Records that have expired are dropped
    Given records with room for 10
    When 8 streams are recorded for 1000 ms
    And 1000 ms pass and another stream is recorded
    Then 1 record is kept
