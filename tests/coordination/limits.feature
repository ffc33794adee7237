Feature: An organisation's limit holds over all VMs and services
  Whichever VMs admit its requests, and however often that changes: no time window of the
  limit admits more than the limit plus the spare allowance.

  # Guards against each service's scheduler admitting the whole limit: it counted and read
  # only the usage of its own service. Without any fault, an organisation that requests
  # several times its limit got 12,000 and 18,000 tokens instead of 7,200 with two and
  # three services, from engines and plain workers alike.
  Scenario Outline: An organisation has its limit once, however many services it uses
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    And <count> services
    When an organisation requests several times its limit from each service
    Then no window admits more of its tokens than limit and spare
    And it used nearly its whole limit
    And an organisation far below its limit gets no refusal

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |

  # Guards against scaling recorded usage down together with a lowered limit and not
  # restoring it: 6,000 tokens under a limit of 6,000 counted as 3,000 from then on, and
  # 9,000 were admitted in one window.
  Scenario: A limit that is lowered and raised is never used twice
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    When an organisation requests several times its limit while it is halved and restored
    Then no window admits more of its tokens than limit and spare

  Scenario Outline: The usage counted by a killed scheduler is kept
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    And <count> services
    When an organisation requests several times its limit from each service while each scheduler is killed
    Then no window admits more of its tokens than limit and spare

    Examples:
      | count |
      | 1     |
      | 2     |

  # Guards against exceeding the limit when schedulers are killed one after the other in one
  # organisation's burst. The next scheduler knew only the record, which lacks the latest
  # usage. One kill stays within the spare allowance, but each kill in a window adds to it:
  # 9,175 and 11,175 tokens were admitted with two and three kills.
  Scenario Outline: The usage admitted in a burst is known when the scheduler is killed
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    When the scheduler is killed after each <each_ms> ms of a burst, <times> times
    Then no window admits more of its tokens than limit and spare

    Examples:
      | each_ms | times |
      | 200     | 1     |
      | 300     | 1     |
      | 300     | 2     |
      | 400     | 2     |
      | 300     | 3     |

  Scenario Outline: The usage counted by a leaving scheduler is handed over
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    And <count> services
    When an organisation requests several times its limit from each service while schedulers hand over
    Then no window admits more of its tokens than limit and spare

    Examples:
      | count |
      | 1     |
      | 2     |

  # Gateways that reach no scheduler admit a part of the spare allowance, and requests that
  # were within the limit at their former scheduler. They report this usage when they are
  # reachable again. Until then VMs that are cut off from each other hold the same roles and
  # count separately.
  Scenario Outline: Usage admitted by gateways in local fallback counts
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    And <count> services
    When an organisation requests several times its limit, and its gateways fall back <times> times
    Then no window admits more of its tokens than limit and spare

    Examples:
      | count | times |
      | 1     | 1     |
      | 1     | 3     |
      | 2     | 3     |

  # When all VMs lose power, every service gets a new scheduler at once. Each of them admitted
  # half of the spare allowance before it knew any usage: 1,200 and 1,800 tokens in total.
  Scenario Outline: New schedulers without a record share half of the spare allowance
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    And <count> services
    When the store is down and an organisation asks each service's new scheduler for 1000 at once
    Then 600 of its tokens are admitted at most

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |

  # Guards against taking the usage reported by one VM for the complete record. A role moves
  # while the store is down, and a VM that held it only briefly reports what it admitted. The
  # new scheduler then dropped the usage it assumed of the others, and admitted 5,000 tokens
  # instead of its part of 600.
  Scenario: A scheduler without the record keeps the assumed usage despite partial reports
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    When new schedulers are told of 100 tokens that another scheduler admitted
    Then 600 of its tokens are admitted at most
    And its refusals have the reason limit_guessed

  Scenario: A scheduler without the record accepts the report of its predecessor
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    When new schedulers are told of 100 tokens that the previous scheduler admitted
    Then 4000 of its tokens are admitted at least

  # Guards against refusing organisations far below their limits for seconds when a scheduler
  # starts while the store is down. It could not read the record and assumed that each limit
  # was used up: its predecessor had sent all it knew, but had not held the role for a whole
  # window, so its report was ignored. 3 to 17 of 46 or 47 requests were refused of an
  # organisation that requests a tenth of its limit, and 26 of 236 of one that requests half.
  Scenario Outline: An organisation below its limit gets no refusal while the store is down
    Given a region whose organisations may use 6000 tokens in 8 s, plus 1200 spare
    And <count> services
    When all VMs restart, and the store goes down as schedulers are <fate> in turn
    Then no window admits more of its tokens than limit and spare
    And an organisation that asks for a tenth of its limit gets no refusal
    And an organisation that asks for half of its limit gets no refusal

    Examples:
      | count | fate        |
      | 1     | cut off     |
      | 2     | cut off     |
      | 1     | stopped     |
      | 1     | killed      |
      | 1     | handed over |
      | 2     | stopped     |
      | 2     | killed      |
      | 2     | handed over |
