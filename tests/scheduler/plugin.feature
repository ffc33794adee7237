Feature: A placement policy as a plug-in
  The example of docs/EXTENDING.md registers itself and schedules requests.

  Scenario: The example is looked up by name and places requests
    Given the example plug-in of the documentation is imported
    When its core receives 3 requests for an endpoint with 2 slots
    Then 2 of them are granted and the third after one has finished

  Scenario: A name can be registered only once
    Given the example plug-in of the documentation is imported
    Then registering its name again raises RegistryError
