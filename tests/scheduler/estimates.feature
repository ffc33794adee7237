Feature: Estimates that outlive the scheduler that learnt them
  Load: some endpoints are several times slower than others, and schedulers are replaced.

  # With starting values, a new scheduler sends its first requests to slow endpoints.
  Scenario Outline: An adopted estimate loses weight with its age
    Given a scheduler with an estimate of slowdown 5, 40 ms an event and 0.8 failures
    When a new scheduler adopts it after <age_s> s
    Then it assumes slowdown <slowdown>, <interval> ms an event and <failures> failures

    Examples:
      | age_s | slowdown | interval | failures |
      | 0     | 5.0      | 40.0     | 0.8      |
      | 30    | 3.0      | 30.8     | 0.4      |
      | 60    | 2.0      | 26.2     | 0.2      |
      | 151   | 1.0      | 0.0      | 0.0      |

  # A restarted process may have become faster or slower.
  Scenario Outline: An estimate belongs to one start of an endpoint
    Given an estimate of a start at <born_ms> with version "<version>"
    When a scheduler whose endpoint was born at 7 with version "1" adopts it
    And the same with an endpoint that states no start
    Then the estimate is <used> for the first and <used_without> for the second

    Examples:
      | born_ms | version | used    | used_without |
      | 7       | 1       | used    | dropped      |
      | 8       | 1       | dropped | dropped      |
      | 0       | 1       | dropped | used         |
      | 0       | 2       | dropped | dropped      |

  # A new scheduler may be told before it has read the registry.
  Scenario: An endpoint that is declared later adopts its estimate
    Given a scheduler with an estimate of slowdown 5, 40 ms an event and 0.8 failures
    When a new scheduler without endpoints adopts it after 0 s
    And the endpoint is declared 30 s later
    Then it assumes slowdown 3.0, 30.8 ms an event and 0.4 failures
    And 1 estimate of "vm-1" counts as adopted

  Scenario Outline: The newer samples count
    Given a scheduler that saw an answer of "e" <own_s> s ago
    When it is sent an estimate whose newest sample is <sent_s> s old
    Then it <keeps> its own

    Examples:
      | own_s | sent_s | keeps        |
      | 1     | 2      | keeps        |
      | 20    | 10     | does not keep |

  # Failures seen under another scheduler may be over.
  Scenario: Failures elsewhere suspend no endpoint
    Given a scheduler with an estimate of slowdown 1, 20 ms an event and 1.0 failures
    When a new scheduler adopts it after 0 s
    Then a request is granted, and after 1 failure the endpoint is not suspended

  # Two replacements in a row must not make an old estimate new.
  Scenario: An estimate is passed on with its age
    Given a scheduler with an estimate of slowdown 5, 40 ms an event and 0.8 failures
    When a new scheduler adopts it after 20 s
    And another one adopts it from there after 10 s
    Then it assumes slowdown 3.0, 30.8 ms an event and 0.4 failures

  Scenario Outline: Impossible figures are ignored
    Given a scheduler that is sent an estimate with <name> <value>
    Then it keeps its starting values

    Examples:
      | name              | value |
      | slowdown          | nan   |
      | slowdown          | 0     |
      | event_interval_ms | inf   |
      | failure_ratio     | 1.5   |
      | samples           | 0     |

  # The store's calls are paid for; a record that is never written again expires.
  Scenario Outline: Estimates are recorded again when they have changed by a tenth
    Given a record of slowdown 4 and failures 0 written <elapsed_s> s ago
    When the scheduler's slowdown is <slowdown> and its failures are <failures>
    Then recording is <due>

    Examples:
      | elapsed_s | slowdown | failures | due     |
      | 10        | 4.3      | 0.09     | not due |
      | 10        | 4.5      | 0        | due     |
      | 10        | 4        | 0.11     | due     |
      | 40        | 4        | 0        | due     |
