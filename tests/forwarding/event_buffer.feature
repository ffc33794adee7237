Feature: Events are held back until they end, within a bound

  Background:
    Given streams may hold back 100 bytes each, and 200 together

  Scenario: An event is passed on once it has ended
    When the stream "a" gets the start of an event of 60 bytes
    Then the streams hold back 60 bytes
    When the event of "a" ends
    Then "a" has passed on the whole event
    And the streams hold back 0 bytes

  Scenario: An event over the bound breaks its stream
    When the stream "a" gets the start of an event of 101 bytes
    Then the streams that break are "a"

  # Guards against streams that break for the memory that others fill.
  Scenario: Together they hold too much: the stream with more than its share breaks
    When the stream "a" gets the start of an event of 90 bytes
    And the stream "b" gets the start of an event of 90 bytes
    Then the streams that break are ""
    When the stream "c" gets the start of an event of 30 bytes
    Then the streams that break are "a, b"
    When the stream "a" is discarded
    Then the streams that break are ""

  Scenario: A stream that ends leaves its room to others
    When the stream "a" gets the start of an event of 90 bytes
    And the stream "a" is discarded
    Then the streams hold back 0 bytes
