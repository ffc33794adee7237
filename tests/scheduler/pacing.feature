Feature: Paced limits
  An organisation's limit is a rate and a burst at any moment. Requests that find too few
  tokens wait for a short time, the most urgent first.

  Background:
    Given organisations paced at 1000 tokens a second and 1000 at once

  # Guards against small requests that take the tokens for which a large one waits.
  Scenario: No request overtakes the head of the queue
    When one of them asks for
      | id    | tokens | rank | objective_ms | result           |
      | first | 1000   | 0    | 4000         | passes at 0 ms   |
      | large | 600    | 0    | 4000         | passes at 600 ms |
      | small | 100    | 1    | 4000         | passes at 700 ms |
    Then each is decided as listed

  Scenario: A more urgent request goes first, and what it delays too long is refused
    When one of them asks for
      | id     | tokens | rank | objective_ms | result                            |
      | first  | 1000   | 0    | 4000         | passes at 0 ms                    |
      | usual  | 800    | 1    | 4000         | token_limit at 1000 ms for 601 ms |
      | urgent | 800    | 0    | 4000         | passes at 800 ms                  |
    Then each is decided as listed

  # The line may follow at most once a second, though the request waits for 600 ms only.
  Scenario: Operators see who waits for its rate
    When one of them asks for
      | id    | tokens | rank | objective_ms | result           |
      | first | 1000   | 0    | 4000         | passes at 0 ms   |
      | large | 600    | 0    | 4000         | passes at 600 ms |
    Then a line says that 1 requests wait, and 1000 ms later that none

  # Guards against one retry time for all. The caller of "fifth" does not wait as long, so
  # it is promised nothing; "sixth" waits, whatever level "second" needed to wait.
  Scenario: Refused callers are given different times at which the rate admits them
    When one of them asks for
      | id     | tokens | rank | objective_ms | result                          |
      | first  | 1000   | 0    | 0            | passes at 0 ms                  |
      | second | 500    | 0    | 400          | token_limit at 0 ms for 501 ms  |
      | third  | 500    | 0    | 400          | token_limit at 0 ms for 1001 ms |
      | fourth | 100    | 0    | 0            | token_limit at 0 ms for 1101 ms |
      | fifth  | 400    | 0    | 400          | token_limit at 0 ms for 1401 ms |
      | sixth  | 100    | 0    | 400          | passes at 100 ms                |
    Then each is decided as listed
    And promised tokens count until 500 ms after the retry time

  # Guards against a level kept for a large request by one that stays below its limit.
  Scenario: A refused large request does not make others of its organisation refused
    When it asks for 900, 1000, then 90 tokens each 100 ms for 10 s, 1 is refused

  # Larger than the burst; admitted by an earlier scheduler; a retry, which is not charged.
  Scenario: Some requests pass without enough tokens
    When one of them asks for
      | id    | tokens | rank | objective_ms | result         |
      | large | 1500   | 0    | 400          | passes at 0 ms |
      | moved | 200    | 0    | 400          | passes at 0 ms |
      | retry | 300    | 0    | 400          | passes at 0 ms |
    Then 0 requests wait, and the level is -700 to -700 tokens
    And each is decided as listed

  # Guards against a bucket that is full after each change of the scheduler.
  Scenario: Tokens used at other schedulers count by their age
    When 1500 tokens were used elsewhere 1000 ms ago
    Then 0 requests wait, and the level is 500 to 500 tokens
    When 800 tokens were used elsewhere 2000 ms ago
    Then 0 requests wait, and the level is 1000 to 1000 tokens
    When 800 tokens were used elsewhere 300 ms ago
    And the scheduler may use 0.5 of the rates
    Then 0 requests wait, and the level is 250 to 250 tokens

  # Guards against earlier uses that are replayed under a changed limit.
  Scenario Outline: A changed limit keeps the level
    When 1000 tokens are used elsewhere, then 90 each 100 ms for 20 s
    And meanwhile "it" sees a limit of <per_s> and <burst> tokens
    Then 0 requests wait, and the level is 800 to 1000 tokens

    Examples:
      | per_s | burst |
      | 1000  | 10000 |
      | 500   | 1000  |

  # Guards against uses that are forgotten, or counted twice, as reports are replaced.
  Scenario: Usage that is reported again each 2 s counts once
    When 1000 tokens are used elsewhere, then 100 each 100 ms for 20 s
    Then 0 requests wait, and the level is -100 to 200 tokens

  # Guards against requests that wait for the rate and are unknown to a path of the core.
  Scenario Outline: Each path of the core knows the requests that wait for their rate
    When one of them asks for
      | id    | tokens | rank | objective_ms | result         |
      | first | 1000   | 0    | 4000         | passes at 0 ms |
      | other | 500    | 0    | 4000         | <result>       |
    And meanwhile "other" <event>
    Then <waiting> requests wait, and the level is 0 to <level> tokens
    And each is decided as listed

    Examples:
      | event                                  | waiting | level   | result           |
      | sees assumed usage fill the window     | 1       | 0       | limit_guessed at 1000 ms for 8001 ms |
      | sees a record of 1000 tokens twice     | 1       | 0       | passes at 500 ms |
      | is submitted again                     | 1       | 0       | passes at 500 ms |
      | is withdrawn                           | 0       | 0       | undecided        |
      | is withdrawn and submitted again       | 1       | 0       | passes at 500 ms |
      | is withdrawn and submitted as admitted | 1       | 0       | passes at 500 ms |
      | is registered as running               | 0       | 0       | undecided        |
      | sees "first" refused by its endpoint   | 0       | 500     | passes at 0 ms   |
      | sees a limit of 1000000 and 1000000 tokens | 1   | 0       | passes at 50 ms  |
      | sees the limit removed                 | 0       | 0       | passes at 0 ms   |
