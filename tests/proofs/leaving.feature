@processes
Feature: A leaving endpoint gets no new work
  No dispatch later than 3 s after the platform's list, the endpoint's own
  report or the operator says so, on any VM, with faults at the same time.

  Scenario Outline: <source> says so as a VM freezes and a data centre is cut off
    Given a leaving proof with calls at every VM
    When at one moment of the leaving proof its <frozen> freezes and "sala-campeche" is cut off
    And at that moment <source> of the leaving proof says that "bitacora-tampico-1" and "bitacora-campeche-1" are leaving
    Then no call of the leaving proof arrives there later than 3 s afterwards
    And the other endpoints of the leaving proof go on
    When the frozen VM of the leaving proof wakes and has ended its calls
    Then no call of the leaving proof arrives there later than 3 s afterwards

    Examples:
      | source       | frozen    |
      | the operator | gateway   |
      | the endpoint | scheduler |
      | the list     | gateway   |
