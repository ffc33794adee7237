@processes
Feature: A planned stop cuts and refuses nothing
  Callers go by /readyz, as the platform's balancer does.

  Scenario: Each VM is stopped in turn under load and replaced
    Given a stop proof whose callers send checks, catches, long streams and jobs
    When each VM of the stop proof is stopped in turn and replaced
    Then no call of the stop proof was cut or refused
    And each job of the stop proof was run once and answered whole
    And each stopped VM of the stop proof had handed its roles over
    And the roles of the stop proof were all held by a stopped VM once
