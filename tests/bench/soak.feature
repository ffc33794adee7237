Feature: The soak of real VMs and of what endpoints say

  Scenario: A seed always draws the same series
    Then the soak draws the same from seed 7 twice, and another series from seed 8

  Scenario Outline: A broken rule is found
    Given a soaked endpoint that <says>
    When <requests> requests of VM 0 reach it from 4 s on
    Then the soak finds <broken>

    Examples:
      | says                             | requests | broken  |
      | names a limit of 1 a second      | 11       | nothing |
      | names a limit of 1 a second      | 12       | LIMIT   |
      | says that it leaves              | 20       | nothing |
      | says that it leaves              | 30       | DRAIN   |
      | turns the first away for 3 s     | 7        | nothing |
      | turns the first away for 3 s     | 9        | BUDGET  |
      | runs one twice that may run once | 2        | TWICE   |
      | runs one that is refused         | 2        | REFUSED |

  Scenario: A VM that was not in order is excused
    Given a soaked endpoint that says that it leaves
    And VM 0 was killed after 4 s
    When 30 requests of VM 0 reach it from 4 s on
    Then the soak finds nothing

  Scenario Outline: Streams that callers resume are checked
    Given soaked streams that were resumed at VM 1, of which <what>
    Then the soak finds <broken>

    Examples:
      | what                                                     | broken  |
      | all go on at their version                               | nothing |
      | one goes on at another version                           | ORDER   |
      | one gets an event twice                                  | ORDER   |
      | 5 of 12 go on                                            | LOST    |
      | 6 of 12 go on                                            | nothing |
      | 5 of 11 go on                                            | nothing |
      | 5 of 12 go on while VM 1 was not in order                | nothing |
      | 5 of 12 go on with one endpoint of their version         | nothing |

  Scenario Outline: An entry that leaves is checked
    Given a soaked endpoint that <says>
    And <trouble>
    When 30 requests of VM 0 reach it from 4 s on
    Then the soak finds <broken>

    Examples:
      | says                              | trouble                         | broken  |
      | has an entry that leaves at 1 s   | VM 1 was killed after 4 s       | DRAIN   |
      | has an entry that leaves at 5 s   | VM 1 was killed after 4 s       | nothing |
      | has an entry that leaves at 1 s   | VM 0 was killed after 4 s       | nothing |
      | has an entry that leaves at 1 s   | the store was busy after 2 s    | nothing |
      | gets the requests of another one  | VM 1 was killed after 4 s       | nothing |
      | holds requests and leaves at 1 s  | VM 1 was killed after 4 s       | DRAIN   |
      | gets other bodies                 | VM 1 was killed after 4 s       | UNASKED |

  Scenario Outline: Requests are checked against the configuration in force
    Given a soaked route that was <changed> at 1 s
    And <trouble>
    When a request on it that VM 0 <answers> is sent at <at_s> s
    Then the soak finds <broken>

    Examples:
      | changed | answers   | at_s | trouble                      | broken  |
      | added   | serves    | 3.1  | VM 1 was killed after 3 s    | nothing |
      | added   | refuses   | 3.1  | VM 1 was killed after 3 s    | CONFIG  |
      | added   | refuses   | 2.9  | VM 1 was killed after 3 s    | nothing |
      | added   | refuses   | 3.1  | VM 0 was killed after 1 s    | nothing |
      | added   | refuses   | 3.1  | the store was busy after 1 s | nothing |
      | dropped | serves    | 3.1  | VM 1 was killed after 3 s    | CONFIG  |
      | dropped | serves    | 2.9  | VM 1 was killed after 3 s    | nothing |
      | dropped | refuses   | 3.1  | VM 1 was killed after 3 s    | nothing |

  Scenario Outline: Requests without an answer are found
    Given a soaked request of VM 0 that <what>
    Then the soak finds <broken>

    Examples:
      | what                                                       | broken  |
      | gets an answer                                             | nothing |
      | gets no answer                                             | LOST    |
      | gets no answer as its caller gives up                      | nothing |
      | gets no answer before it is whole                          | nothing |
      | gets no answer within 0.1 s and reaches no endpoint        | nothing |
      | gets no answer within 0.3 s and reaches no endpoint        | LOST    |
      | gets no answer after its time limit                        | nothing |
      | gets no answer as its endpoint breaks off                  | nothing |
      | gets no answer as its endpoint crashes                     | nothing |
      | gets no answer as its endpoint is started again            | nothing |
      | gets no answer while VM 0 is killed                        | nothing |
      | gets no answer while VM 0 is stopped                       | LOST    |
      | gets no answer but a reset while VM 0 is stopped           | LOST    |
      | is reset while VM 0 is stopped, and reaches no endpoint    | nothing |
      | is reset and reaches no endpoint                           | LOST    |
      | gets a 500 of the VM                                       | LOST    |
      | gets a 500 of the endpoint                                 | nothing |
      | is a stream that is complete                               | nothing |
      | is a stream that is cut                                    | LOST    |
      | is a stream that is cut as its endpoint breaks off         | nothing |
      | is a stream that is cut while VM 0 is killed               | nothing |
      | is a stream that its caller leaves                         | nothing |

  Scenario Outline: Requests with a part that crashes endpoints are counted
    Given <crashes> soaked crashes, the last at 10 s
    And <late> more such requests of VM 0 from <from_s> s on
    Then the soak finds <broken>

    Examples:
      | crashes | late | from_s | broken  |
      | 5       | 3    | 13.1   | nothing |
      | 5       | 4    | 13.1   | BUDGET  |
      | 5       | 20   | 10.1   | nothing |
      | 4       | 20   | 13.1   | nothing |

  Scenario: Requests with such a part are not counted at a VM that was not in order
    Given 5 soaked crashes, the last at 10 s
    And 4 more such requests of VM 0 from 13.1 s on
    And VM 0 was killed after 13 s
    Then the soak finds nothing

  Scenario Outline: Sound requests beside such a part are compared with earlier ones
    Given 3 soaked crashes, the last at 10 s
    And <begun> of <sound> sound requests beside such ones begin
    Then the soak finds <broken>

    Examples:
      | begun | sound | broken  |
      | 10    | 20    | nothing |
      | 9     | 20    | LOST    |
      | 0     | 19    | nothing |

  Scenario Outline: Requests while one VM gets most connections are compared
    Given a soaked VM that gets most connections from 10 s on
    And <served> of <asked> requests <what> are served from 13 s on
    Then the soak finds <broken>

    Examples:
      | served | asked | what                   | broken  |
      | 15     | 20    | that end in a 502      | nothing |
      | 14     | 20    | that end in a 502      | RECOVER |
      | 14     | 20    | that end in a 429      | nothing |
      | 14     | 20    | that no VM reads       | nothing |
      | 14     | 20    | of a VM out of order   | nothing |

  # Guards against a cut VM that counts as not serving: streams that callers resume had
  # no status, and counted as failed at all VMs.
  Scenario: Streams that callers resume count with their status
    Given an endpoint whose streams end with their connection, between events
    When callers of the soak take streams for 0.5 s
    Then all streams but the last count as answered

  Scenario Outline: Streams that end with their connection are told apart
    Given an endpoint whose streams end with their connection, <where>
    When a caller of the soak takes one
    Then the stream counts as <what>

    Examples:
      | where           | what       |
      | between events  | complete   |
      | inside an event | broken off |

  # Guards against a soak that ends with its own error: a VM waited for the store, and
  # the next disturbance ended it before it was ready.
  @processes
  Scenario: The soak plays a series that overlaps
    Then a soak in which a VM is killed again and again while it starts breaks no rule

  @processes
  Scenario Outline: A short soak breaks no rule
    Then a soak of 30 s with seed <seed> breaks no rule

    Examples:
      | seed |
      | 1    |
      | 2    |
