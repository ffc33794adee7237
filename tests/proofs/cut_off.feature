@processes
Feature: Cut off, with real processes
  A data centre without the others and without the platform serves what needs
  no claim, refuses the rest at once, and heals without a second run.

  Scenario Outline: A data centre is cut off by links that <fault>
    Given a cluster under proof with a load on all its VMs
    When the links of one data centre <fault>
    And each side sees only itself
    Then work that needs no claim is answered whole on both sides
    And keyed work is refused there at once, as not run, with when to come back
    And jobs are refused there at once, as not run, with when to come back
    When the links heal and all see each other again
    Then keyed work is answered whole there
    And the load has gone on and everything under proof holds

    Examples:
      | fault    |
      | break    |
      | go quiet |
