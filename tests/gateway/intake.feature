Feature: Checking what callers send
  Whatever is wrong with a request is found before anything is queued.

  Background:
    Given a gateway's tree with a chat service and a plain service

  Scenario: A chat request becomes a call with tier, deadline and estimates
    When the gateway checks a chat request for work "check" with 2048 prompt bytes
    Then the call has tier rank 0, deadline 4000 ms and 512 prefill tokens
    And the call has 2 prefix hashes

  Scenario: The model's name replaces the service's towards the engine
    When the gateway checks a chat request for work "check" with 10 prompt bytes
    Then the call's body names model "m-1"

  Scenario Outline: Bad input gets its own status and reason
    When the gateway checks a chat request <case>
    Then the check fails with <status> and reason "<reason>"

    Examples:
      | case                               | status | reason          |
      | whose body is cut off              | 400    | bad_request     |
      | whose body is nested 100000 deep   | 400    | bad_request     |
      | for an unknown service             | 404    | unknown_service |
      | for the plain service              | 404    | unknown_service |
      | for an unknown work                | 400    | unknown_work    |
      | without messages                   | 400    | bad_request     |
      | with max_tokens of zero            | 400    | bad_request     |
      | with a deadline of "soon"          | 400    | bad_request     |
      | with a deadline of "-5"            | 400    | bad_request     |
      | with a key of 300 bytes            | 400    | bad_request     |
      | from an organisation without right | 403    | forbidden       |

  Scenario: Prompts that begin alike share their first prefix hashes
    When two prompts of 3072 bytes share their first 2048
    Then their first 2 prefix hashes are equal and the third differs

  Scenario: A plain call passes end-to-end headers only
    When the gateway checks a plain call with headers of all kinds
    Then only the end-to-end headers are passed on
    And a POST without a declaration is not idempotent

  Scenario: Any bytes give a call or a typed error
    Then no fuzzed body makes the check fail without a type
