Feature: Requests that go on only at one software version
  A stream that has begun may go only to endpoints of its version, whatever else is free.

  Background:
    Given an objective core with the endpoints
      | endpoint | slots | version |
      | a1       | 1     | v1      |
      | a2       | 1     | v1      |
      | b1       | 20    | v2      |

  # Guards against streams that go on at another version.
  Scenario: It waits for a slot of its version while others are free
    Given all slots of "v1" are in use
    When 1 request bound to "v1" arrives
    Then "bound0" waits
    When one running request on "a2" finishes
    Then "bound0" is granted on "a2"

  # Guards against a queue that stands still behind requests with no endpoint to go to:
  # a pass ends after a dozen that cannot be placed.
  Scenario: Those behind it are not held up
    Given all slots of "v1" are in use
    When 15 requests bound to "v1" arrive
    And the objective core receives the requests
      | id   | rank | objective_ms |
      | free | 1    | 1000         |
    Then "free" is granted on "b1"
    And "bound14" waits

  # Guards against streams that are held until their deadline.
  Scenario: It is refused as soon as the last endpoint of its version leaves
    Given all slots of "v1" are in use
    When 1 request bound to "v1" arrives
    And the endpoints of "v1" leave, and 100 ms pass
    Then "bound0" is refused as "no_matching_version" with a retry delay

  Scenario: It is refused at once where no endpoint has its version
    When 1 request bound to "v3" arrives
    Then "bound0" is refused as "no_matching_version" with a retry delay

  # Guards against streams that wait until their caller has left.
  Scenario: It waits no longer than its caller
    Given all slots of "v1" are in use
    When 1 request bound to "v1" whose caller stays for 2000 ms arrives
    And 1950 ms pass for the objective core
    Then "bound0" is refused as "deadline_passed" with a retry delay

  # Guards against streams that wait beside endpoints which are suspended one by one.
  Scenario: It goes to a suspended endpoint if its version has no other
    Given the endpoints of "v1" are suspended
    When 1 request bound to "v1" arrives
    Then "bound0" is granted on an endpoint of "v1"

  # Guards against streams that are refused while the endpoints of their version still
  # serve, since a rollout gives these no new requests.
  Scenario: It goes to an endpoint that takes only streams of its version
    Given the endpoints of "v1" take only streams of their version
    When 1 request bound to "v1" arrives
    And the objective core receives the requests
      | id   | rank | objective_ms |
      | free | 1    | 1000         |
    Then "bound0" is granted on an endpoint of "v1"
    And "free" is granted on "b1"

  # Guards against speeds of other versions as the measure of what may be in time.
  Scenario: It goes to a slow endpoint of its version that may end too late
    Given the endpoints of "v1" are slower than those of "v2"
    When 1 request bound to "v1" with little time left arrives
    Then "bound0" is granted on an endpoint of "v1"
