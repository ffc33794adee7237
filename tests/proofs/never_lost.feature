@processes
Feature: An accepted job is never lost
  After a 202 the job ends with its whole answer, run once, or in a final state
  that tells the truth.

  Scenario: The runner dies at each step of a job
    Given a never-lost proof with 2 VMs in each data centre and a slow platform
    When a VM of the never-lost proof is killed as a job is accepted
    And a VM of the never-lost proof is killed as a job is claimed
    And a VM of the never-lost proof is killed as a job is placed
    And a VM of the never-lost proof is killed as a job is streaming
    And a VM of the never-lost proof is killed as a job is answered
    Then each job of the never-lost proof ends truthfully
    And the never-lost jobs killed as accepted, claimed, streaming and answered are whole

  Scenario: All VMs are killed and replaced one after the other
    Given a never-lost proof with 2 VMs in each data centre
    When each VM of the never-lost proof is killed in turn and started again under load
    Then each job of the never-lost proof ends truthfully while the load goes on
    And each job of the never-lost proof that any engine ran is whole

  Scenario: The platform is away while a runner dies
    Given a never-lost proof with 2 VMs in each data centre
    When jobs of the never-lost proof are streaming
    And the platform of the never-lost proof is away and a runner is killed
    Then the never-lost proof's calls during the outage were truthfully refused
    And each job of the never-lost proof ends truthfully
    And each job of the never-lost proof that any engine ran is whole
