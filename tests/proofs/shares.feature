@processes
Feature: Organisations of one rank get their shares, as callers see it
  Seen: while one organisation asked for forty times its usual, .48 to .70 of the others'
  requests were served, .44 of them beside kills. Real VMs before engines; the others
  together ask for less than a third of the slots.

  Background:
    Given 6 VMs under load before 6 engines, and 9 organisations of one rank

  Scenario: A spike of one organisation leaves the others their shares
    When one organisation asks for 40 times its usual for 10 s
    Then at least 0.95 of the others' requests are served
    And at least 0.80 of the slots are used

  Scenario: A spike of one organisation while VMs are killed and started in turn
    When one organisation asks for 40 times its usual for 10 s and VMs are killed in turn
    Then at least 0.85 of the others' requests are served later than 2 s after a kill
    And at least 0.80 of the slots are used

  Scenario: A spike of one organisation while the store refuses
    When one organisation asks for 40 times its usual for 10 s and the store refuses from 1 s before
    Then at least 0.90 of the others' requests are served
    And at least 0.80 of the slots are used
