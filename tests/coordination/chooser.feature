Feature: What a VM knows of the others when it chooses

  # Seen: more than a limit allows in a data centre that was cut off. A VM that had scheduled
  # nothing asked how many VMs there are only after the cut, and took its part for the whole.
  Scenario: A VM knows its part of the VMs that were there before a cut
    Given a VM that sees 6 VMs for 60 s and asks for nothing
    When it sees 2 of them
    Then its part of the VMs is 0.333
    When 16 s go by
    Then its part of the VMs is 1.000
