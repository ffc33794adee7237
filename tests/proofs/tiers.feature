@processes
Feature: Proof of the tier order
  Under overload a higher tier is never refused while a lower one goes on,
  whatever becomes of the VM that schedules the service.

  Scenario: A burst over all VMs while the scheduler dies, freezes and moves
    Given a tiers proof on 2 VMs in each data centre with 60 waiting places
    When the tiers proof's burst arrives at all VMs while these befall the scheduler
      | at_s | what       |
      | 6    | killed     |
      | 10   | frozen     |
      | 14   | terminated |
    Then the tiers proof has seen refusals of the lower tiers for want of a place
    And no caller of the tiers proof was passed over by a lower tier
