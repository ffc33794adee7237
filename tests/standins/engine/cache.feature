Feature: KV memory and prefix cache of the engine's stand-in
  Blocks that no request holds stay until the memory is needed.

  Background:
    Given a stand-in cache of 4 blocks

  Scenario: Released blocks stay and are found again
    When stand-in blocks "1 2 3" are computed and released
    Then the stand-in cache hits 2 of blocks "1 2 9 3"
    And the stand-in cache uses 0 blocks

  Scenario: The least recently used chain goes first, its end before its start
    When stand-in blocks "1 2" are computed and released
    And stand-in blocks "3 4" are computed and released
    And stand-in blocks "5" are computed and released
    Then the stand-in cache events are "+1 +2 +3 +4 -2 +5"

  Scenario: Blocks in use are shared and never evicted
    When stand-in blocks "1 2 3" are computed and held
    And stand-in blocks "1 2 3" are computed and held
    Then the stand-in cache uses 3 blocks
    And stand-in blocks "4 5" do not fit

  Scenario: Imported blocks are found
    When stand-in blocks "1 2" are imported
    Then the stand-in cache hits 2 of blocks "1 2 3"
