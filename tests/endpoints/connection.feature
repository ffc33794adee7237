Feature: One exchange with an endpoint over HTTP

  Scenario Outline: a whole answer is read whole
    Given an endpoint that answers with <framing> and the body "hello world"
    When the endpoint's answer is read
    Then the endpoint's answer is "hello world" and <verdict>

    Examples:
      | framing             | verdict     |
      | a length            | is complete |
      | chunks              | is complete |
      | an interim head     | is complete |
      | only a close        | is not vouched for |

  Scenario Outline: a failed exchange is told by its type
    Given an endpoint that <fault>
    When the endpoint's answer is read
    Then the endpoint call fails as <failure>

    Examples:
      | fault                           | failure |
      | does not listen                 | refused |
      | closes before it answers        | broken  |
      | closes within the head          | broken  |
      | closes within a length          | broken  |
      | closes within the chunks        | broken  |
      | resets within the chunks        | broken  |
      | answers what is not HTTP        | broken  |
      | answers with an endless head    | broken  |
      | switches protocols              | broken  |
      | answers with an unknown status  | broken  |
      | answers with the status 000     | broken  |
      | answers with the status 000 and a body | broken |
      | answers in an unknown coding    | broken  |

  Scenario: a request that cannot be written is refused unsent
    Given an endpoint that answers with a length and the body "hello world"
    When a request with a line break in a header is dispatched
    Then the endpoint call fails as refused
    And the endpoint saw 0 connections

  Scenario: the answer to HEAD has a length and no body
    Given an endpoint that answers HEAD with the length of a body it does not send
    When the endpoint's answer to HEAD is read
    Then the endpoint's answer is "" and is complete

  Scenario: large bodies pass both ways
    Given an endpoint that echoes the body
    When a body of 5000000 bytes is sent to the endpoint
    Then the endpoint's answer is the same body

  Scenario: a slow reader slows the endpoint
    Given an endpoint that writes 40000000 bytes as fast as it can
    When the endpoint's answer is left unread
    Then the endpoint stops before it has written all
    And the whole of the endpoint's answer can still be read

  Scenario: headers of one hop and of the caller's secrets stay here
    Given an endpoint that answers with a length and the body "hello world"
    When a request with all kinds of headers is dispatched
    Then the endpoint heard only the headers meant for it

  Scenario: whatever bytes an endpoint sends, the call ends with a typed result
    Given an endpoint that answers with bytes made up by a fuzzer
    Then each fuzzed answer ends as whole, unvouched or broken

  Scenario: chunks that come alone and whole pass as they came, others decoded
    Then however a fuzzer cuts a chunked answer, a sink of chunks gets its body

  Scenario: a chunk's inside is never taken for a chunk
    Then a chunk whose cut-off head and first bytes look like one passes unharmed
