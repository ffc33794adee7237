Feature: The platform's stand-in
  Its table decides writes by version; its faults are those of the real one.

  Background:
    Given a stand-in platform

  Scenario: Compare-and-set lets one of two writers through
    When stand-in row "a/b" is written if absent
    And stand-in row "a/b" is written if absent
    Then the stand-in status is 409
    And the stand-in row "a/b" has version 1

  Scenario: An atomic commit applies all or nothing
    Given stand-in row "a/b" is written if absent
    When stand-in rows "a/c a/b" are written if absent, atomic
    Then the stand-in status is 409
    And the stand-in rows under "a/" are "a/b"

  Scenario: Without atomic each write stands on its own
    Given stand-in row "a/b" is written if absent
    When stand-in rows "a/c a/b" are written if absent, each alone
    Then the stand-in status is 200
    And the stand-in rows under "a/" are "a/b a/c"

  Scenario: A reply is lost after the write took effect
    Given the stand-in platform's control sets {"lose_replies": 1}
    When stand-in row "a/b" is written if absent
    Then the stand-in connection broke
    And the stand-in rows under "a/" are "a/b"

  Scenario: An outage answers nothing and keeps the rows
    Given stand-in row "a/b" is written if absent
    And the stand-in platform's control sets {"outage": true}
    When stand-in row "a/c" is written if absent
    Then the stand-in status is 503
    And the stand-in rows under "a/" are "a/b"

  Scenario: Objects are kept whole
    When the stand-in object "o/1" is put, read and deleted
    Then the stand-in statuses are "204 200 204 404"

  Scenario: Too many writes are limited, and told when to come back
    Given a stand-in rate limit of 10 a second
    Then 10 stand-in units are let through at 0 ms and the next waits 100 ms
    And 1 stand-in units are let through at 100 ms and the next waits 100 ms

  Scenario: The list of VMs lags
    Given a stand-in list that lags by 2000 ms
    When the stand-in list becomes "vm-1 vm-2" at 100 ms
    Then the stand-in list shows "" at 2099 ms
    And the stand-in list shows "vm-1 vm-2" at 2100 ms
