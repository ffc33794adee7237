Feature: Estimates that outlive the scheduler that learnt them
  Load: some endpoints are several times slower than others, and schedulers are replaced.
  Estimates are written as slowdown, time between events in ms and failure ratio.

  # With starting values, a new scheduler sends its first requests to slow endpoints.
  # Two replacements in a row must not make an old estimate new. The registry may lose an
  # endpoint briefly. Without a stated start, another version is another start.
  Scenario Outline: An estimate loses weight with its age and belongs to one start
    Given a scheduler that knows 5.0 40.0 0.8
    When it goes through: <events>
    Then it assumes <values>

    Examples:
      | events                                  | values        |
      | replace, replace                        | 5.0 40.0 0.8  |
      | wait 20, replace, wait 10, replace      | 3.0 30.8 0.4  |
      | wait 100, replace, wait 51, replace     | 1.0 0.0 0.0   |
      | replace undeclared, wait 30, declare 1  | 3.0 30.8 0.4  |
      | undeclare, wait 30, declare 1           | 3.0 30.8 0.4  |
      | replace, undeclare, wait 30, declare 1  | 3.0 30.8 0.4  |
      | declare 2                               | 1.0 0.0 0.0   |
      | declare 2, wait 30, declare 1           | 3.0 30.8 0.4  |

  # An impossible figure, or one of another start, hides nobody's own. An echo of its own
  # samples is nothing new, nor is a failed answer a sample of the speed.
  Scenario Outline: The newer samples of the same start count
    Given a scheduler that saw an answer 20 s ago, then a failed one, of start <start>
    Then it adopts <count> estimates that have <name> <value> and are 10 s old

    Examples:
      | start | name              | value               | count |
      | 7     | born_ms           | 7                   | 1     |
      | 7     | born_ms           | 8                   | 0     |
      | 7     | born_ms           | 0                   | 0     |
      | 7     | version           | 2                   | 1     |
      | 0     | born_ms           | 0                   | 1     |
      | 0     | version           | 2                   | 0     |
      | 7     | age_ms            | 19950               | 0     |
      | 7     | age_ms            | 19850               | 1     |
      | 7     | slowdown          | nan                 | 0     |
      | 7     | slowdown          | 0                   | 0     |
      | 7     | event_interval_ms | inf                 | 0     |
      | 7     | event_interval_ms | 300                 | 0     |
      | 7     | event_tokens      | 80                  | 0     |
      | 7     | failure_ratio     | 1.5                 | 0     |
      | 7     | samples           | 0                   | 0     |
      | 2e18  | born_ms           | 2000000000000000000 | 0     |

  # Failures seen under another scheduler may be over.
  Scenario: Failures elsewhere suspend no endpoint
    Given a scheduler that knows 1.0 20.0 1.0
    When it goes through: replace
    Then a request is granted, and after 1 failure the endpoint is not suspended

  # Memory is bounded if a sender names endpoints that don't exist. Tokens per event are
  # one value for all endpoints; a late old estimate must not replace a newer one.
  Scenario: Of many estimates the newest are kept, and give the event size
    Given a scheduler that knows 1.0 20.0 0.0
    Then it keeps 4096 of 5000 estimates, and tokens per event follow the newest

  # The store's calls are paid for; a record that is never written again expires.
  Scenario Outline: Estimates are recorded again when they have changed by a tenth
    # The usual are 4, 40 ms, 6 tokens, 0 failures and no stated start.
    Then an estimate with <name> <value> is <due> <s> s after one with the usual

    Examples:
      | name              | value | s  | due     |
      | slowdown          | 4.3   | 10 | not due |
      | slowdown          | 4.5   | 10 | due     |
      | failure_ratio     | 0.09  | 10 | not due |
      | failure_ratio     | 0.11  | 10 | due     |
      | event_interval_ms | 45    | 10 | due     |
      | event_tokens      | 7     | 10 | due     |
      | born_ms           | 8     | 10 | due     |
      | slowdown          | 4     | 29 | not due |
      | slowdown          | 4     | 40 | due     |
