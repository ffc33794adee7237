Feature: Membership tables
  The steps set the time, so no scenario waits for a real timeout.

  Scenario: A silent VM is dropped after the heartbeat timeout
    Given a table with heartbeats of "x" at 0 ms and of "y" at 500 ms
    When the table expires at 1601 ms
    Then the table holds only "y"

  Scenario: An older start's heartbeat is ignored
    Given a table with heartbeats of "x" at 0 ms and of "y" at 500 ms
    When a heartbeat of an earlier start of "x" arrives
    Then the table still holds the later start of "x"

  Scenario: A pulse with an unknown hash is reported as unknown
    Given a table with heartbeats of "x" at 0 ms and of "y" at 500 ms
    Then a pulse of "x" with another hash is not known
    And a pulse of "z" is not known

  Scenario: A digest of a silent source is dropped when a fresh source does not list it
    Given digests of "dcb" by "b1" with "b1 b2" and by "b2" with "b1 b2"
    When "b2" sends a digest of "dcb" with "b2" at 1000 ms
    Then the digests expired at 1300 ms hold "b2"

  Scenario: Two fresh delegates that do not list each other are both kept
    Given digests of "dcb" by "b1" with "b1" and by "b2" with "b2"
    Then the digests expired at 600 ms hold "b1 b2"

  Scenario: A digest expires with its source
    Given digests of "dcb" by "b1" with "b1" and by "b2" with "b1 b2"
    Then the digests expired at 2001 ms hold nothing

  Scenario: VMs stay known while their data centre's delegate changes
    Given VMs "b1 b2 b3" of another data centre, last listed at 1000 ms
    When "b1" alone is listed from 1200 ms on
    Then the VMs known at 1300 ms are "b1 b2 b3"
    And the VMs known at 2900 ms are "b1 b2 b3"
    And the VMs known at 3001 ms are "b1"

  Scenario: A VM that its delegate no longer lists is dropped at once
    Given VMs "b1 b2 b3" of another data centre, last listed at 1000 ms
    When the source that listed "b1 b2 b3" lists "b1 b2" at 1200 ms
    Then the VMs known at 1200 ms are "b1 b2"

  Scenario: A silent data centre is dropped when its digests expire
    Given VMs "b1 b2 b3" of another data centre, last listed at 1000 ms
    When no VM is listed from 3001 ms on
    Then the VMs known at 3001 ms are ""

  # Guards against requests to a data centre of which no digest arrives any more.
  Scenario: A data centre without any digest is dropped at once
    Given VMs "b1 b2 b3" of another data centre, last listed at 1000 ms
    When there is no digest of their data centre from 1100 ms on
    Then the VMs known at 1100 ms are ""

  # A dead or frozen delegate stays listed in its own last digest until that expires.
  Scenario: A delegate that falls silent is dropped with its digest
    Given VMs "b1 b2 b3" of another data centre, last listed at 1000 ms
    When "b1" falls silent and "b2" lists "b2 b3" until 3100 ms
    Then the VMs known at 3100 ms are "b2 b3"

  Scenario: Changes of the view are logged with one line per data centre
    When 40 VMs of "dcb" and 30 of "dcc" join a view one after the other in 450 ms
    Then 2 lines are logged within 600 ms, one of 40 and one of 30 VMs

  Scenario: A VM that leaves the view and is back at once is not logged
    When a VM leaves the view and is back 100 ms later
    Then no line is logged within 1000 ms

  Scenario: A restarted VM is logged
    When a VM in the view is restarted
    Then 1 line is logged within 600 ms, of 1 VM

  Scenario: A mark expires 30 s after it was last repeated
    Given an endpoint marked as leaving by another VM at 0 ms
    Then the mark holds at 29000 ms and is over at 30001 ms

  Scenario: Rendezvous hashing reassigns only the keys of a removed candidate
    Given 1000 keys spread over 9 candidates by rendezvous hashing
    When a candidate is removed
    Then only the keys assigned to it are reassigned
    And no candidate holds more than a quarter of the keys

  Scenario: A paused VM treats its view as stale until it hears from the others again
    Given two members in one data centre with manual clocks
    When the first one's clock jumps by 5000 ms
    Then the first one is stale and still holds its view
    When it has heard the other one again
    Then the first one is not stale and holds its view

  Scenario: A paused VM drops VMs that it does not hear again
    Given two members in one data centre with manual clocks
    When the first one's clock jumps by 5000 ms
    And the other one stays silent for 2100 ms more
    Then the first one is not stale and sees only itself

  Scenario: A contact that never answers is probed with exponential backoff
    Given a contact from the platform's list and a seed
    When contacts are probed for 60 seconds
    Then the seed was probed 60 times and the other 6 times
