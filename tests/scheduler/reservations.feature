Feature: Reservations for refused callers
  Reservations of 4 slots, half of which may be reserved: 200 ms of slot time in each bin
  of 100 ms. Requests have 6 s left, so that their callers wait for up to 1.9 s.

  Background:
    Given reservations for 4 slots

  # Guards against telling hundreds of callers the same retry time, which happened when a
  # rounding error left a bin almost full.
  Scenario: Retry times are spread over the capacity
    When 12 requests "a" to "l" of 80 ms are refused that could begin in 100 ms
    Then their retry times are 40 ms apart on average
    And all of them have a reservation

  Scenario: No more is reserved than callers wait for
    When 60 requests "x" of 100 ms are refused that could begin in 100 ms
    Then 37 of them have a reservation
    And the others are told at least 2000 ms

  Scenario: A less urgent rank does not keep a more urgent one from reserving
    When 30 requests "x" of 100 ms are refused that could begin in 100 ms
    And a more urgent request "u" is refused
    Then it is told 100 ms

  Scenario Outline: Only a caller that returns in time goes first, once
    When request "a" is refused
    And <offset> ms from its retry time "a" arrives with <change>
    Then it <first> first
    When "a" arrives again
    Then it <again> first

    Examples:
      | offset | change               | first       | again       |
      | -110   | nothing else         | does not go | does not go |
      | -100   | nothing else         | goes        | does not go |
      | 500    | nothing else         | goes        | does not go |
      | 510    | nothing else         | does not go | does not go |
      | 0      | another rank         | does not go | goes        |
      | 0      | another body         | does not go | goes        |
      | 0      | a second attempt     | does not go | goes        |
      | 0      | no objective         | does not go | goes        |
      | 0      | an earlier admission | does not go | goes        |

  Scenario: A caller that repeats at once is given the remaining time
    When request "a" is refused
    And "a" arrives 60 ms later and is refused again
    Then it is told 60 ms less, nothing more is reserved and a copy is told of none

  # Guards against taking a caller that is 300 ms late for one that returns too early.
  Scenario: Of several reservations the nearest that may be used is used
    When request "a" is refused
    And a second reservation of "a" is received, due 450 ms later
    And 300 ms from its retry time "a" arrives with nothing else
    Then it goes first

  # Guards against a used reservation that a gateway sends again, and against one that two
  # gateways were told of.
  Scenario: A reservation that is sent again is added once
    When request "a" is refused
    And gateways send its reservation 2 times, 20 ms apart
    Then 1 reservation is held
    When "a" is used and gateways send its reservation again
    Then no reservation is held

  Scenario: Reservations that no longer fit lapse, the newest first
    When 8 requests "a" to "h" of 100 ms are refused that could begin in 100 ms
    And half of the slots are suspended for 10000 ms
    Then the reservations of "a c e g" are held and 4 have lapsed

  Scenario: After a pause, retry times are earlier
    When request "a" is refused
    And the clock stood still for 200 ms
    And -200 ms from its retry time "a" arrives with nothing else
    Then it goes first

  # Guards against refusing early, after a pause, a request that has returned in time.
  Scenario: A request that used its reservation keeps it when it is submitted again
    When request "a" is refused
    And 0 ms from its retry time "a" arrives with nothing else
    And the same request is submitted again
    Then it goes first
    When the clock stood still for 2000 ms
    And the same request is submitted again
    Then it goes first

  Scenario: The number of reservations is bounded
    When 6000 reservations are received
    Then 4096 reservations are held
