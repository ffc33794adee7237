Feature: Bytes of an endpoint that never become an answer are bounded

  # Guards against a VM whose memory grows for as long as an endpoint sends a field that
  # does not end: the parser keeps a field until it is whole.
  Scenario Outline: An exchange ends as broken at once beside <sent>
    Given an endpoint that sends <sent> before its answer
    When the answer that names the request is read
    Then the exchange has failed as broken
    And the endpoint is cut off after 16 MB at most, socket buffers included

    Examples:
      | sent                                  |
      | a status line without end             |
      | a header without end                  |
      | a header's name without end           |
      | interim answers without end           |
      | its own chunk's size without end      |
      | its own chunk's extension without end |
      | its own trailers without end          |
