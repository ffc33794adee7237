Feature: Calls to the platform over HTTP
  A write that certainly had no effect and one whose reply was lost are two
  different failures; only the second has to be read back.

  Scenario Outline: A commit's failure is typed by what is known
    Given a platform that <behaviour>
    When a platform commit is sent
    Then the platform commit ends with <error>

    Examples:
      | behaviour                     | error                    |
      | refuses connections           | PlatformUnavailableError |
      | answers 503                   | PlatformUnavailableError |
      | answers 400                   | PlatformUnavailableError |
      | answers 429                   | RateLimitedError         |
      | answers 500                   | CommitUnknownError       |
      | answers 200 with rubbish      | CommitUnknownError       |
      | closes without a reply        | CommitUnknownError       |
      | never replies                 | CommitUnknownError       |

  Scenario Outline: A read's failure is always just unavailable
    Given a platform that <behaviour>
    When a platform row is read
    Then the platform read ends with <error>

    Examples:
      | behaviour                | error                    |
      | refuses connections      | PlatformUnavailableError |
      | answers 500              | PlatformUnavailableError |
      | answers 200 with rubbish | PlatformUnavailableError |
      | closes without a reply   | PlatformUnavailableError |
      | answers 429              | RateLimitedError         |

  Scenario: A rate limit says when to come back
    Given a platform that answers 429
    When a platform commit is sent
    Then the platform asks to come back after 70 ms

  Scenario: An outage is noticed once and its end too
    Given a platform that answers 503
    When a platform commit is sent
    Then the platform counts as down
    When the platform answers again
    And a platform row is read
    Then the platform counts as up

  Scenario: Writes to a silent platform are turned away until it answers
    Given a platform that never replies
    When the platform has been silent for long
    And 5 platform commits are sent
    Then the platform turned them all away unsent
    When the platform answers again
    Then the platform is soon found to be up, and commits are sent again

  Scenario: A setting that names no platform is refused
    When the platform setting "carrier-pigeon" is opened
    Then the platform setting is refused
