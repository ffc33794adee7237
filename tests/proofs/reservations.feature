@processes
Feature: Who comes back at its retry time is served, as callers see it
  Seen: of callers that came back at the time of Retry-After, 40 of 125, 29 of 96 and 76 of
  154 were refused again. Real VMs before engines. Callers wait for at most a third of the
  time that they have left, and come back once, to another VM and with another id.

  Scenario: Refused callers come back at their retry time during an overload
    Given 6 VMs under load before 6 engines, and 9 organisations of one rank
    When all ask for 1.6 times the capacity for 6 s and refused callers come back once
    Then at least 0.80 of those that come back are served
    And at least 0.80 of the slots are used
