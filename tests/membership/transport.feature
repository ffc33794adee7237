Feature: Transport between VMs
  Messages arrive decoded and from their stated sender, or are rejected.

  Scenario Outline: A message and its answer cross the wire
    Given a transport pair <security>
    When transport "a" sends 200 key queries to "b" which answers each
    Then transport "a" has received 200 answers from "b"
    And transport "a" has sent fewer than 200 frames

    Examples:
      | security      |
      | without keys  |
      | with own keys |
      | with one key  |

  Scenario: A message to the VM itself is delivered locally
    Given a transport pair without keys
    When transport "a" sends a key query to "a"
    Then transport "a" has received that query from "a"

  Scenario: A VM without a known address is not reached
    Given a transport pair without keys
    Then transport "a" refuses to send to "nobody"

  Scenario: The VM's own address map overrides seeds and learnt addresses
    Given an address book with all three sources for one VM
    Then the address book returns the address in the map

  Scenario: Without keys only loopback addresses are used
    Then a transport without keys refuses to listen on "0.0.0.0"
    Given a transport pair without keys
    When transport "a" learns that "far" is at "192.0.2.1:7400"
    Then transport "a" refuses to send to "far"

  Scenario: A restarted VM is accepted, its earlier start is rejected
    Given a transport pair without keys
    And transport "b" was started again with a higher incarnation
    When transport "b" sends a key query to "a"
    Then transport "a" has received that query from "b"
    When the earlier start of "b" sends a frame to transport "a"
    Then transport "a" rejects it as "message of an earlier start"

  Scenario: A replayed frame is rejected
    Given a transport pair with own keys
    When "b" sends the same frame twice to transport "a"
    Then transport "a" rejects it as "message repeated"

  Scenario: A VM cannot impersonate another one
    Given a transport pair with own keys
    When "b" sends a frame to transport "a" as "a"
    Then transport "a" rejects it as "the key is not the stated sender's"

  Scenario Outline: Peers without a listed key are refused
    Given a transport pair with own keys
    When a peer <kind> sends a frame to transport "a"
    Then transport "a" accepts no frame of that peer

    Examples:
      | kind                 |
      | without a key        |
      | with an unlisted key |

  Scenario: Fuzzed bytes are rejected without a crash
    Given a transport pair without keys
    When fuzzed frames are sent to transport "a"
    Then transport "a" has rejected all fuzzed frames
    When transport "b" sends a key query to "a"
    Then transport "a" has received that query from "b"

  Scenario: A member survives well-formed messages with arbitrary content
    Given a transport pair without keys
    And a member with its own transport "a"
    When well-formed arbitrary messages are sent to that member
    Then that member has read them all and still sees itself

  Scenario: A message that waited too long for a connection is dropped
    Given a transport pair without keys
    And transport "b" is down
    When transport "a" sends a key query to "b"
    And more than the longest queue time passes and "b" is back
    And transport "a" sends another key query to "b"
    Then transport "b" has received only the other query

  # VMs of the version before reject all messages of a frame with one they cannot read.
  Scenario: Estimates share no frame with other messages
    Given a transport pair without keys
    When transport "a" sends a query, two lots of estimates and two queries at once
    Then the frames of "b" have K, E, E and KK

  # Otherwise a new kind of message would stop the requests of VMs of both versions.
  Scenario: Only the unreadable message of a frame is rejected
    Given a transport pair without keys
    When "b" sends transport "a" an unknown message between two queries in one frame
    Then transport "a" has 2 queries and 1 rejection
