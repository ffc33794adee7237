Feature: Calls to the metadata store
  Calls succeed again without help once the store can answer them.

  Background:
    Given the event loop of a VM
    And a metadata store and its watches

  # Guards against VMs that kept an old view for as long as the store answered late: each
  # call was given up at the same limit, shortly before its answer came.
  Scenario Outline: News of a store that answers late comes into force
    When each answer of the store takes <ms> ms
    And the store says version 9
    And the endpoint "p1" leaves without a word
    Then the configuration in force is version 9 within 8000 ms
    And the endpoint "p1" is gone after 8000 ms

    Examples:
      | ms   |
      | 1200 |
      | 2200 |

  # Guards against VMs that never got a large configuration over a slow link: each call was
  # given up in the middle of its answer.
  Scenario: An answer that takes long to arrive is not given up
    When the store sends 100000 bytes a second
    And the store says version 9 with 200 kB of routes
    Then the configuration in force is version 9 within 4000 ms

  # Guards against the same where requests wait: each made its VM begin a large read anew.
  Scenario: Requests that wait do not interrupt an answer that takes long to arrive
    When the store sends 100000 bytes a second
    And the store says version 9 with 100 kB of routes
    And requests want the configuration confirmed each 200 ms
    Then the configuration in force is version 9 within 4000 ms

  Scenario: A write to a store that answers late succeeds when it is repeated
    When each answer of the store takes 1200 ms
    Then a write succeeds at the second try

  # Guards against a client that tried its idle connections one after the other when all of
  # them had fallen silent, each for the whole limit.
  Scenario: Idle connections that all fell silent cost one call
    When 6 connections to the store are idle and fall silent
    Then a read succeeds at the second try

  # Guards against calls given up while their answers lay in the sockets: the loop runs its
  # timers before it reads.
  Scenario: A call is not given up for a stall of the event loop
    Given a store in another thread that answers after 350 ms
    When the event loop stands still for 1200 ms of each 1500 ms
    Then a read succeeds at the first try

  # Guards against a reread of whole tables as fast as the store answered, while its reads
  # lagged behind a history that it had dropped.
  Scenario: A history that stays lost is not asked for without a pause
    When the store has lost its history for 2000 ms
    Then each watch has called the store at most 10 times meanwhile
    When the store says version 9
    Then the configuration in force is version 9 within 3000 ms

  # Guards against watches that ended for good with an error that nobody expected, as a
  # process had no file descriptor left for a moment.
  Scenario: A call without a free file descriptor is one that failed
    When the process has no file descriptor left
    Then a read ends as one that the store did not answer
