Feature: A plain service that is asked for more than it can answer
  Seen: for as long as more was asked of a plain service than it could answer, half to
  two thirds of its answers were late, by about the time of one call, although hundreds
  of requests a second were refused because they could only be late.
  How it came about: requests wait by the time at which they are due. One that had just
  become too late was due first, so it was sent before those that could still be on
  time, and these became too late in turn.
  What proved it: the load below, without a network, and the order of grants in the log.

  Pattern: 4 endpoints of 6 slots take 80 ms for each call and are asked for 350 to 480
  calls a second for four seconds, or for 220 by two endpoints for twelve seconds. Of
  what they answer then, 96 in 100 answers and more can be on time (four seeds).

  Seen: callers of the least urgent routes waited until their time was over and left
  without an answer, nine in ten of them. How it came about: a wait was predicted from
  what waited at that moment, and the more urgent requests still to come went first. A
  request without an objective was kept until the very moment at which its caller left.

  Seen: where calls take unlike times (half to twice the mean), a fifth to a quarter of
  the answers came just late: what is predicted to be on time in the mean is late in half
  of all cases. Predictions leave room for what they miss by in the mean.

  Scenario: What a full plain service answers is on time
    When a plain service with 6 slots an endpoint that takes 80 ms is played
      | endpoints | factor | seconds |
      | 4         | 2.2    | 4       |
      | 4         | 3.0    | 4       |
      | 2         | 1.4    | 12      |
    Then each time at least 0.9 of its answers to "quoted" are on time
    And each time at least 0.9 of its answers to "checked" are on time

  Scenario: What a full plain service answers is on time where calls take unlike times
    When a plain service with 6 slots an endpoint is played whose calls take 80 ms in the mean
      | endpoints | factor | seconds |
      | 4         | 2.2    | 4       |
      | 4         | 3.0    | 4       |
      | 2         | 1.4    | 12      |
    Then each time at least 0.87 of its answers to "quoted" are on time
    And each time at least 0.9 of its answers to "checked" are on time

  Scenario: Callers that would wait in vain are told soon
    When a plain service with 6 slots an endpoint that takes 80 ms is played
      | endpoints | factor | seconds |
      | 4         | 2.2    | 4       |
      | 4         | 3.0    | 4       |
      | 2         | 1.4    | 12      |
    Then each time at most 0.1 of the callers of "untimed" leave
    And each time at most 0.01 of the callers of "quoted" leave
