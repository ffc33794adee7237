Feature: Requests accepted by a stopping VM
  It accepts only requests whose time limit ends before the VM stops, however short they
  are expected to be.

  Scenario Outline: A request is accepted if its time limit ends before the stop
    Given a forwarder that stops in 4800 ms
    Then a request with a time limit of <limit_ms> ms is <result>

    Examples:
      | limit_ms | result   |
      | 1200     | accepted |
      | 12000    | refused  |
