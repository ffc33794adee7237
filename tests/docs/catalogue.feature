Feature: The documents agree with the code

  Scenario: The catalogue of log events is written from the code
    Then docs/LOG-EVENTS.md holds what "pomelolane events --markdown" prints

  Scenario: No event number stands for two events
    Then each log event's name is unique and its number is in its hundred

  Scenario: The documents name only commands and files that exist
    Then each relative link in the documents leads to a file

  Scenario: Every metric is told of on the pages for operators
    Then each metric of the code is named on a page, and each one named exists
