@processes
Feature: Proof that bad input harms nobody else
  Fuzzed, half-sent, slow and oversized requests get a typed end, other callers
  do not feel them, and secrets and bodies never appear in logs.

  Background:
    Given a bad-input proof on 1 VM in each data centre

  Scenario: Hostile requests against one VM while others ask it for work
    When 40 good calls are sent to the VM under attack before anything hostile
    And good calls go on at the VM under attack while these come
      | hostile               | number |
      | fuzzed requests       | 400    |
      | half-sent heads       | 40     |
      | half-sent bodies      | 40     |
      | heads sent byte-wise  | 20     |
      | bodies sent byte-wise | 20     |
      | oversized heads       | 20     |
      | oversized bodies      | 20     |
      | endless chunked bodies | 20    |
    Then each hostile request had a typed end or a closed connection
    And all good calls got their whole answers, hardly later than before
    And the VM under attack is the same process and reports no fault
    And no log of the bad-input proof holds a key or a body

  Scenario: Operators' keys change their own team's branch only
    When every key of the deployment is tried on every branch
    Then only each team's own operator was let in, and nothing changed
    And no log of the bad-input proof holds a key or a body
