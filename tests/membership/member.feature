Feature: Members of a region
  Every VM's view holds the VMs that it can reach, and no others.

  Scenario: VMs that know one seed each find each other
    Given members "a1 a2 a3" in "dca" that know "a1" only
    Then every member sees all running members

  Scenario: Every view holds the VMs of all data centres
    Given a region of 3 data centres with 3 members each
    Then every member sees all running members
    And each data centre has 2 delegates

  Scenario: With keys the region comes together as well
    Given a region with keys of 2 data centres with 2 members each
    Then every member sees all running members

  Scenario: A killed VM leaves every view
    Given a region of 2 data centres with 3 members each
    And every member sees all running members
    When member "a1" is killed
    Then every member sees all running members

  Scenario: A VM that stops is gone at once and its roles move on
    Given a region of 2 data centres with 3 members each
    And every member sees all running members
    When the first delegate of "dca" leaves
    Then its neighbours have dropped it without waiting for silence
    And every member sees all running members
    And each data centre has 2 delegates

  Scenario: A draining VM gives up the delegate's role but stays in the view
    Given a region of 2 data centres with 3 members each
    And every member sees all running members
    When the first delegate of "dca" is draining
    Then every member sees it draining
    And it is no delegate any more
    And every member sees all running members

  Scenario: A restarted VM is seen with its higher incarnation
    Given a region of 2 data centres with 2 members each
    And every member sees all running members
    When member "a1" is killed
    And member "a1" starts again
    Then every member sees "a1" in its new start

  Scenario Outline: A cut between data centres empties the views of the far side
    Given a region of 3 data centres with 2 members each
    And every member sees all running members
    When the links between "dca" and "dcb" are set to "<mode>"
    Then "dca" and "dcb" don't see each other
    And "dcc" sees all running members
    When the links between "dca" and "dcb" are set to "pass"
    Then every member sees all running members

    Examples:
      | mode   |
      | cut    |
      | freeze |

  Scenario: Both delegates killed at once do not take their data centre along
    Given a region of 2 data centres with 4 members each
    And every member sees all running members
    And only delegates still hear the other data centre directly
    When both delegates of "dca" are killed
    Then every member sees all running members
    And neither the rest of "dca" nor "dcb" has ever left the other's view

  Scenario: Delegates that give up the role at once lose nobody to their own
    Given a region of 2 data centres with 4 members each
    And every member sees all running members
    And only delegates still hear the other data centre directly
    When both delegates of "dca" are draining at once
    Then two others of "dca" are delegates
    And nobody has ever left the view meanwhile

  Scenario: A leaving endpoint is known everywhere
    Given a region of 3 data centres with 3 members each
    And every member sees all running members
    When member "c2" marks endpoint "e1" as leaving for "operator"
    Then every member is told once that "e1" is leaving for "operator"

  Scenario: A mark made during a cut comes through after it
    Given a region of 2 data centres with 2 members each
    And every member sees all running members
    When the links between "dca" and "dcb" are set to "cut"
    And member "a1" marks endpoint "e1" as leaving for "operator"
    And the links between "dca" and "dcb" are set to "pass"
    Then every member knows that "e1" is leaving

  Scenario: The platform's list seeds the view and marks endpoints
    Given members "a1 a2" in "dca" that know nobody but the platform's list
    Then every member sees all running members
    When the platform's list marks endpoint "e1" as leaving
    Then every member knows that "e1" is leaving

  Scenario: A VM that the list names is tried at once, and not again at each reading
    Given members "a1" in "dca" that know nobody but the platform's list
    When "a1" reads a list that names "a2" just after its beat
    Then "a1" has tried "a2" without waiting for its next beat
    When "a1" reads the same list once more
    Then "a1" has sent nothing more

  Scenario: A VM in another VM's name changes nothing
    Given a region of 1 data centre with 2 members each
    And every member sees all running members
    When member "a1" sends a heartbeat in the name of "a2" that says stopped
    And member "a1" marks endpoint "e1" as leaving for "operator"
    Then every member knows that "e1" is leaving
    And every member sees all running members

  Scenario: A steady data centre stays within its traffic
    Given a region of 1 data centre with 4 members each
    And every member sees all running members
    When 5 further beats have passed
    Then a beat to one neighbour has taken at most 60 bytes

  @processes
  Scenario: A frozen process is dropped, and knows of its pause when woken
    Given a member process "p2" in the data centre of member "a1"
    When the process is frozen until "a1" has dropped it
    And the process is woken
    Then "a1" sees the process again
    And the process has noticed its pause
