Feature: Links of the fault proxy
  Bytes pass, or the fault in force holds, drops or breaks them.

  Background:
    Given a stand-in link to an echo server

  Scenario: Bytes pass both ways, also many of them
    When 3000000 bytes are sent over the stand-in link
    Then all of them come back over the stand-in link

  Scenario: A delay keeps the order
    Given the stand-in link has {"delay_ms": 3}
    When 3000000 bytes are sent over the stand-in link
    Then all of them come back over the stand-in link

  Scenario: A cut breaks connections, refuses new ones and can be healed
    Given a client is connected over the stand-in link
    When the stand-in link has {"mode": "cut"}
    Then the stand-in client's connection is broken
    And the stand-in link refuses connections
    When the stand-in link has {"mode": "pass"}
    And 10 bytes are sent over the stand-in link
    Then all of them come back over the stand-in link

  Scenario: A frozen link accepts, moves nothing and goes on later
    Given the stand-in link has {"mode": "freeze"}
    When 10 bytes are sent over the stand-in link
    Then the stand-in echo server has received 0 bytes
    When the stand-in link has {"mode": "pass"}
    Then all of them come back over the stand-in link

  Scenario: Replies are dropped, requests are not
    Given the stand-in link has {"mode": "drop_replies"}
    When 10 bytes are sent over the stand-in link
    Then the stand-in echo server receives 10 bytes
    When the stand-in link has {"mode": "pass"}
    And 5 more bytes are sent over the stand-in link
    Then only the last 5 bytes come back over the stand-in link
