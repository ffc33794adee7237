Feature: Lines through measured points
  A slope without its error says little.

  Scenario: Points on a line
    Given measured points 1:5, 2:7, 3:9 and 4:11
    Then the fitted slope is 2 with error 0 and intercept 3

  Scenario: Scattered points
    Given measured points 1:5, 2:8, 3:8 and 4:11
    Then the fitted slope is 1.8 with error 0.424264 and intercept 3.5
