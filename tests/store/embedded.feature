Feature: The platform in memory
  It keeps the table's promises, so that what is proved on it holds elsewhere.

  Scenario: Compare-and-set decides by version
    Given an embedded table
    When the embedded table commits "a=1@0 a=2@0 b=3@0" one by one
    Then the embedded results are "yes:1 no:1 yes:1"
    And the whole embedded table is "a=1 b=3"

  Scenario: An atomic batch with one failed condition changes nothing
    Given an embedded table
    When the embedded table commits "a=1@0" one by one
    And the embedded table commits "a=2@1 b=3@7" as a whole
    Then the embedded results are "no:1 no:0"
    And the whole embedded table is "a=1"

  Scenario: A deleted row is gone and can be inserted again
    Given an embedded table
    When the embedded table commits "a=1@0 b=1@0 c=1@0" one by one
    And the embedded table commits "b=-@1" as a whole
    Then the embedded results are "yes:0"
    And the whole embedded table is "a=1 c=1"

  Scenario: A scan gives the rows of a prefix in key order
    Given an embedded table
    When the embedded table commits "x/2=b@0 x/1=a@0 y/1=c@0 x/3=c@0" one by one
    Then the embedded rows under "x/" are "x/1=a x/2=b x/3=c"
