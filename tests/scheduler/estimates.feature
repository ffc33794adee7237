Feature: Estimates that outlive the scheduler that learnt them
  Load: some endpoints are several times slower than others, and schedulers are replaced.
  Estimates are written as slowdown, time between events and failure ratio.

  # With starting values, a new scheduler sends its first requests to slow endpoints.
  # Two replacements in a row must not make an old estimate new.
  Scenario Outline: An adopted estimate loses weight with its age
    Given a scheduler that knows 5.0, 40 ms and 0.8
    When a scheduler adopts it after <first_s> s, and another one <then_s> s later
    Then it assumes <slowdown>, <interval> ms and <failures>

    Examples:
      | first_s | then_s | slowdown | interval | failures |
      | 0       | 0      | 5.0      | 40.0     | 0.8      |
      | 20      | 10     | 3.0      | 30.8     | 0.4      |
      | 100     | 51     | 1.0      | 0.0      | 0.0      |

  # A restarted process may have become faster or slower. Both schedulers have version
  # 1 of the endpoint, one of them a start at 7, the other none.
  Scenario Outline: An estimate belongs to one start of an endpoint
    When an estimate of start <born_ms>, version <version> is sent to both
    Then it is adopted by <adopters>

    Examples:
      | born_ms | version | adopters |
      | 7       | 1       | 7        |
      | 8       | 1       | none     |
      | 0       | 1       | 0        |
      | 0       | 2       | none     |

  # A new scheduler may be told before it has read the registry.
  Scenario: An endpoint that is declared later adopts its estimate
    Given a scheduler that knows 5.0, 40 ms and 0.8
    When a scheduler adopts it, and its endpoint is declared 30 s later
    Then it assumes 3.0, 30.8 ms and 0.4

  Scenario Outline: The newer samples count
    Given a scheduler that saw an answer <own_s> s ago
    Then it adopts <count> estimates whose newest sample is <sent_s> s old

    Examples:
      | own_s | sent_s | count |
      | 1     | 2      | 0     |
      | 20    | 10     | 1     |

  # Failures seen under another scheduler may be over.
  Scenario: Failures elsewhere suspend no endpoint
    Given a scheduler that knows 1.0, 20 ms and 1.0
    When a scheduler adopts it after 0 s, and another one 0 s later
    Then a request is granted, and after 1 failure the endpoint is not suspended

  Scenario Outline: Impossible figures are ignored
    Given a scheduler that saw an answer 20 s ago
    Then it adopts 0 estimates with <name> <value>

    Examples:
      | name              | value |
      | slowdown          | nan   |
      | slowdown          | 0     |
      | event_interval_ms | inf   |
      | failure_ratio     | 1.5   |
      | samples           | 0     |

  # The store's calls are paid for; a record that is never written again expires.
  Scenario Outline: Estimates are recorded again when they have changed by a tenth
    Then <slowdown> and <failures> are <due> <s> s after 4 and 0

    Examples:
      | slowdown | failures | s  | due     |
      | 4.3      | 0.09     | 10 | not due |
      | 4.5      | 0        | 10 | due     |
      | 4        | 0.11     | 10 | due     |
      | 4        | 0        | 40 | due     |
