Feature: The verdict on a new version
  Answers of the new version are compared with those of the old one on the same routes in
  the same period. One request in six goes to the new version.

  Scenario Outline: A bad version is rejected after at most fifty bad answers
    Given a judge for a version that is <badness> on endpoints of different speeds
    When up to <answers> of its answers are judged in 40 seeded trials
    Then it is rejected in 39 trials at least, after 50 bad answers at most

    Examples:
      | badness                       | answers |
      | failing for half              | 300     |
      | failing for a fifth           | 300     |
      | failing on one route of three | 300     |
      | failing from answer 100 on    | 300     |
      | slower by six times           | 300     |
      | slower by four times for half | 300     |

  Scenario Outline: A good version is not rejected
    Given a judge for a version that is <state> on endpoints of different speeds
    When up to 300 of its answers are judged in 100 seeded trials
    Then it is rejected in 1 trial at most

    Examples:
      | state                                      |
      | good                                       |
      | good, and both versions fail for a seventh |
      | good, and both versions begin to fail      |
      | good, and one of its endpoints fails       |
      | good, and a seventh of all endpoints fails |
      | good, and all are overloaded for a while   |
