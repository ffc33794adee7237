Feature: Members of a region
  Every VM's view holds the VMs that it can reach, and no others.

  Scenario: VMs that know one seed each find each other
    Given members "a1 a2 a3" in "dca" that know "a1" only
    Then every member sees all running members

  Scenario: Every view holds the VMs of all data centres
    Given a region of 3 data centres with 3 members each
    Then every member sees all running members
    And each data centre has 2 delegates

  Scenario: The VMs of a region with keys find each other as well
    Given a region with keys of 2 data centres with 2 members each
    Then every member sees all running members

  Scenario: A killed VM leaves every view
    Given a region of 2 data centres with 3 members each
    And every member sees all running members
    When member "a1" is killed
    Then every member sees all running members

  Scenario: A VM that stops is dropped at once and its role moves
    Given a region of 2 data centres with 3 members each
    And every member sees all running members
    When the first delegate of "dca" leaves
    Then its neighbours have dropped it without waiting for a timeout
    And every member sees all running members
    And each data centre has 2 delegates

  Scenario: A draining VM is no longer a delegate but stays in the view
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
    Then every member sees "a1" with its new incarnation

  Scenario Outline: A partition removes each data centre from the other's views
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

  Scenario: A data centre stays in view when both its delegates are killed
    Given a region of 2 data centres with 4 members each
    And every member sees all running members
    And only delegates still hold digests received directly
    When both delegates of "dca" are killed
    Then every member sees all running members
    And neither the rest of "dca" nor "dcb" has ever left the other's view

  Scenario: All VMs stay in view when both delegates give up the role at once
    Given a region of 2 data centres with 4 members each
    And every member sees all running members
    And only delegates still hold digests received directly
    When both delegates of "dca" are draining at once
    Then two others of "dca" are delegates
    And no VM has left the view meanwhile

  Scenario: A leaving endpoint is known everywhere
    Given a region of 3 data centres with 3 members each
    And every member sees all running members
    When member "c2" marks endpoint "e1" as leaving with source "operator"
    Then every member is notified once that "e1" is leaving with source "operator"

  Scenario: A mark made during a partition arrives after it
    Given a region of 2 data centres with 2 members each
    And every member sees all running members
    When the links between "dca" and "dcb" are set to "cut"
    And member "a1" marks endpoint "e1" as leaving with source "operator"
    And the links between "dca" and "dcb" are set to "pass"
    Then every member knows that "e1" is leaving

  Scenario: The platform's list seeds the view and marks endpoints
    Given members "a1 a2" in "dca" that know only the platform's list
    Then every member sees all running members
    When the platform's list marks endpoint "e1" as leaving
    Then every member knows that "e1" is leaving

  Scenario: A newly listed VM is contacted at once, but not again at each poll
    Given members "a1" in "dca" that know only the platform's list
    When "a1" polls a list that contains "a2" just after its heartbeat
    Then "a1" has contacted "a2" without waiting for its next heartbeat
    When "a1" polls the same list again
    Then "a1" has sent nothing more

  Scenario: A heartbeat sent in another VM's name is ignored
    Given a region of 1 data centre with 2 members each
    And every member sees all running members
    When member "a1" sends a heartbeat that claims that "a2" has stopped
    And member "a1" marks endpoint "e1" as leaving with source "operator"
    Then every member knows that "e1" is leaving
    And every member sees all running members

  Scenario: A data centre without changes stays within its traffic limit
    Given a region of 1 data centre with 4 members each
    And every member sees all running members
    When 5 further heartbeats have been sent
    Then a heartbeat to one neighbour takes at most 60 bytes

  @processes
  Scenario: A frozen process is dropped, and detects its pause when resumed
    Given a member process "p2" in the data centre of member "a1"
    When the process is frozen until "a1" has dropped it
    And the process is resumed
    Then "a1" sees the process again
    And the process has detected its pause
