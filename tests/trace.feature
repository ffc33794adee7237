Feature: A request's life from the logs
  From the id that a caller knows, the lines of all VMs come together.

  Scenario: Lines of the gateway and the scheduler come in order, with the cause
    Given the log lines
      | vm  | t_ms | name             | fields                                              |
      | vm2 | 102  | placed           | request=g1.0 endpoint=e1                            |
      | vm1 | 100  | forward_accepted | request=r1 grant=g1                                 |
      | vm1 | 103  | forward_sent     | request=r1 grant=g1.0 endpoint=e1                   |
      | vm1 | 150  | forward_refused  | request=r1 reason=endpoint_broken status=502 sends=1 |
      | vm1 | 101  | forward_accepted | request=other grant=g2                              |
      | vm2 | 104  | placed           | request=g2.0 endpoint=e2                            |
    When the request "r1" is traced
    Then the trace is "forward_accepted, placed, forward_sent, forward_refused"
    And its cause names "endpoint_broken"

  # Guards against traces that show only one of the attempts that a caller made.
  Scenario Outline: All attempts that resume one stream are traced together
    Given the log lines
      | vm  | t_ms | name             | fields                      |
      | vm1 | 100  | forward_accepted | request=r1 grant=g1         |
      | vm1 | 110  | forward_sent     | request=r1 grant=g1.0       |
      | vm2 | 200  | forward_accepted | request=r2 grant=g2 resumes=r1 |
      | vm3 | 201  | placed           | request=g2.0 endpoint=e1    |
      | vm3 | 300  | forward_accepted | request=r3 grant=g3 resumes=r1 |
      | vm1 | 301  | forward_accepted | request=r4 grant=g4 resumes=r9 |
    When the request "<attempt>" is traced
    Then the trace is "forward_accepted, forward_sent, forward_accepted, placed, forward_accepted"

    Examples:
      | attempt |
      | r1      |
      | r2      |
      | r3      |

  Scenario: A request without an end is told as such
    Given the log lines
      | vm  | t_ms | name             | fields              |
      | vm1 | 100  | forward_accepted | request=r1 grant=g1 |
    When the request "r1" is traced
    Then its cause names "no end"

  Scenario: Lines over the bound are counted and not written
    Given JSON lines bounded to 5 a second
    When 20 events are written at once
    Then 5 lines are written and 15 are counted as lost

  Scenario: A reader that does not read blocks nobody
    Given JSON lines into a full pipe
    When 20 events are written at once
    Then every event is counted as lost
