Feature: Reservations survive the scheduler that made them
  A gateway that relays a refusal keeps its reservation and sends it to the next scheduler.

  Background:
    Given a region of VMs "a-1 a-2 a-3" whose only service has too few slots

  Scenario Outline: The scheduler is replaced between refusal and return
    When a caller of another VM is refused with a reservation
    And the scheduler of the refusal is <fate>
    And the caller returns to another VM at its retry time, or to the same if cut off
    Then it used its reservation

    Examples:
      | fate            |
      | not replaced    |
      | killed          |
      | handed over     |
      | cut from others |
      | left by its gateway |
      | settling until 600 ms later |

  Scenario: A caller that returns early and is granted gives up its reservation
    When a caller of another VM is refused with a reservation
    Then if it returns 300 ms too early it is granted and gives up its reservation

  # Guards against taking requests that wait for returning callers: after a change of
  # scheduler or a pause they are submitted again.
  Scenario Outline: A request that waits is not taken for the returning caller
    When a caller of another VM is refused with a reservation
    And a copy that never was refused waits at the retry time while the scheduler is <fate>
    Then the copy used no reservation

    Examples:
      | fate   |
      | killed |
      | paused |

  # Guards against a line for each tick in which endpoints fail.
  Scenario: Reservations withdrawn for lost slots are logged once in 1 s with their number
    When a caller of another VM is refused with a reservation
    And the only endpoint leaves in two steps 200 ms apart
    Then within 1200 ms one line says that 15 reservations have lapsed

  # A scheduler of the previous version rejects a whole frame with an unknown message.
  Scenario: A message of the previous version without the new fields is read
    Then a refusal and a handle without the new fields are decoded with their defaults
    And reservations are sent in a frame of their own
