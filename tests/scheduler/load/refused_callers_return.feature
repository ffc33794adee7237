Feature: Refused callers return
  Load: for 6 s all callers of a plain service ask for 1.6 times the capacity. A refused
  caller returns once, at its retry time, if that is within a third of its time left; one
  in ten repeats at once instead.

  Guards against retry times that refer to no capacity. They were the predicted lateness,
  mostly 100 to 250 ms, so that about two thirds of the returned requests were refused
  again: 0.34 and 0.36 of them were served where 0.97 and 0.98 are with reservations.

  Scenario Outline: Who returns at the retry time is served
    When <endpoints> endpoints of <slots> slots that take <work_ms> ms get 1.6 times their capacity for 6 s
    Then at least 0.80 of the callers that return are served
    And at least 0.95 of those with a reservation are served
    And those who repeat at once are served no more often than new requests
    And new requests are served at least half as often as without reservations

    Examples:
      | endpoints | slots | work_ms |
      | 4         | 6     | 80      |
      | 6         | 4     | 105     |

  # Guards against reservations that overtake more urgent ranks, and against one organisation
  # that reserved .46 of the slots instead of half its share of .45; .35 of the other was served.
  Scenario Outline: Reservations change neither ranks nor shares
    When of two <kinds> one asks for <first> and one for <second> times the capacity
    Then at least <served> of the first are served; the second reserves up to <most>

    Examples:
      | kinds         | first | second | served | most |
      | ranks         | 0.5   | 1.6    | 0.98   | 0.50 |
      | organisations | 0.35  | 3.0    | 0.95   | 0.25 |
