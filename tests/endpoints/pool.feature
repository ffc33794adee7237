Feature: Keep-alive connections to endpoints

  Scenario: an idle connection is used again
    Given an endpoint that answers with a length and the body "hello world"
    When the endpoint's answer is read 3 times
    Then the endpoint saw 1 connections

  Scenario: a connection that the endpoint closed while idle is never written to
    Given an endpoint that closes after each answer without saying so
    When the endpoint's answer is read 3 times
    Then the endpoint saw 3 connections
    And no endpoint call failed

  Scenario: a close that the loop has not yet seen is found before the write
    Given an endpoint that closes when told
    When the endpoint closes an idle connection behind the loop's back
    And the endpoint's answer is read
    Then the endpoint's answer is "hello world" and is complete
    And the endpoint saw 2 connections

  Scenario: an idle connection is dropped before servers use to close it
    Given an endpoint that answers with a length and the body "hello world"
    When the endpoint's answer is read with 5 seconds before and after
    Then the endpoint saw 2 connections

  Scenario: a closed stream gives up its connection and no other
    Given an endpoint that answers with a length and the body "hello world"
    When an ended stream is closed while its connection serves the next one
    Then the endpoint's answer is "hello world" and is complete
    And the endpoint saw 1 connections

  Scenario: bytes after the end of an answer are never taken for the next answer
    Given an endpoint that sends bytes after the end of its answer
    When the endpoint's answer is read 2 times
    Then the endpoint saw 2 connections
    And no endpoint call failed

  Scenario: idle connections that nobody takes are dropped by those that come
    Given an endpoint that answers with a length and the body "hello world"
    When 4 answers are read at once, and 1 more 5 seconds later
    Then the endpoint pool keeps 1 idle connections
