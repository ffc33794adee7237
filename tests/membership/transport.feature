Feature: Transport between VMs
  Messages arrive typed and from whom they claim to be, or not at all.

  Scenario Outline: A message and its answer cross the wire
    Given a transport pair <security>
    When transport "a" sends 200 key queries to "b" which answers each
    Then transport "a" has got 200 answers from "b"
    And transport "a" has sent fewer than 200 frames

    Examples:
      | security      |
      | in the clear  |
      | with own keys |
      | with one key  |

  Scenario: A message to oneself loops back
    Given a transport pair in the clear
    When transport "a" sends a key query to "a"
    Then transport "a" has got that query from "a"

  Scenario: A VM without a known address is not reached
    Given a transport pair in the clear
    Then transport "a" refuses to send to "nobody"

  Scenario: An address of the own map wins over seeds and gossip
    Given an address book with all three sources for one VM
    Then the address book finds the one of the map

  Scenario: Without keys only loopback addresses are used
    Then a transport in the clear refuses to listen on "0.0.0.0"
    Given a transport pair in the clear
    When transport "a" learns that "far" is at "192.0.2.1:7400"
    Then transport "a" refuses to send to "far"

  Scenario: A VM started again is heard, its earlier start is refused
    Given a transport pair in the clear
    And transport "b" was started again with a higher incarnation
    When transport "b" sends a key query to "a"
    Then transport "a" has got that query from "b"
    When the earlier start of "b" sends a frame to transport "a"
    Then transport "a" rejects it as "message of an earlier start"

  Scenario: A replayed frame is refused
    Given a transport pair with own keys
    When "b" sends the same frame twice to transport "a"
    Then transport "a" rejects it as "message repeated"

  Scenario: A VM can't speak as another one
    Given a transport pair with own keys
    When "b" sends a frame to transport "a" as "a"
    Then transport "a" rejects it as "the key is not the stated sender's"

  Scenario Outline: Strangers are refused
    Given a transport pair with own keys
    When a stranger <kind> sends a frame to transport "a"
    Then transport "a" takes no frame of the stranger's

    Examples:
      | kind                 |
      | without a key        |
      | with an unlisted key |

  Scenario: Fuzzed bytes are rejected without a crash
    Given a transport pair in the clear
    When fuzzed frames are sent to transport "a"
    Then transport "a" has rejected all fuzzed frames
    When transport "b" sends a key query to "a"
    Then transport "a" has got that query from "b"

  Scenario: Well-formed nonsense leaves a member at work
    Given a transport pair in the clear
    And a member on the transport "a" of its own
    When well-formed nonsense is sent to that member
    Then that member has read it all and still sees itself

  Scenario: What waited too long for a connection is dropped
    Given a transport pair in the clear
    And transport "b" is down
    When transport "a" sends a key query to "b"
    And more than the longest wait passes and "b" is back
    And transport "a" sends another key query to "b"
    Then transport "b" has got only the other query
