Feature: A placement policy as a plug-in
  The example of docs/EXTENDING.md registers itself and decides.

  Scenario: The example is found by its name and places requests
    Given the plug-in of the documents is imported
    When its core gets 3 requests for an endpoint with 2 slots
    Then 2 of them are granted and the third after one has finished

  Scenario: A name is registered once only
    Given the plug-in of the documents is imported
    Then registering its name again is a typed error
