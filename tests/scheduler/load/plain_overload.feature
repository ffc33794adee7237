Feature: Overload of a plain service
  Guards against three faults under overload.

  Half to two thirds of the answers were late by about the time of one call, although
  hundreds of requests per second were refused. Requests are queued by the time at which
  they are due, so a request that had just become too late was granted before those that
  could still be on time, and made them late in turn. The load below and the order of
  grants in the log showed it.

  Nine in ten callers of the least urgent routes disconnected without an answer. Waits
  were predicted only from the requests in the queue, but more urgent ones arrived later
  and were granted first. Requests without an objective were kept until their callers
  disconnected.

  With calls of varying duration (half to twice the mean), a fifth to a quarter of the
  answers were just late: an answer predicted to be just on time is late in half of all
  cases. Predictions now include a margin for their mean error.

  Load: 4 endpoints of 6 slots take 80 ms per call and get 350 to 480 calls per second
  for four seconds, or two endpoints get 220 for twelve seconds. At least 96 % of the
  answers can be on time then (four seeds).

  Scenario: Answers are on time under overload
    When a plain service with 6 slots per endpoint that takes 80 ms is simulated
      | endpoints | factor | seconds |
      | 4         | 2.2    | 4       |
      | 4         | 3.0    | 4       |
      | 2         | 1.4    | 12      |
    Then each time at least 0.9 of its answers to "quoted" are on time
    And each time at least 0.9 of its answers to "checked" are on time

  Scenario: Answers are on time under overload with calls of varying duration
    When a plain service with 6 slots per endpoint is simulated whose calls take 80 ms on average
      | endpoints | factor | seconds |
      | 4         | 2.2    | 4       |
      | 4         | 3.0    | 4       |
      | 2         | 1.4    | 12      |
    Then each time at least 0.87 of its answers to "quoted" are on time
    And each time at least 0.9 of its answers to "checked" are on time

  Scenario: Callers are refused early instead of waiting in vain
    When a plain service with 6 slots per endpoint that takes 80 ms is simulated
      | endpoints | factor | seconds |
      | 4         | 2.2    | 4       |
      | 4         | 3.0    | 4       |
      | 2         | 1.4    | 12      |
    Then each time at most 0.1 of the callers of "untimed" disconnect
    And each time at most 0.01 of the callers of "quoted" disconnect
