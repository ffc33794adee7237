Feature: The ends of server-sent events are found across the borders of pieces

  Scenario Outline: A stream is between two events only after an empty line
    When a stream of events sends "<bytes>" in pieces of every size
    Then it is <place> each time, and <passed> bytes lie before the last such place

    Examples:
      | bytes                    | place          | passed |
      | id: 1\ndata: a\n\n       | between events | 15     |
      | id: 1\r\ndata: a\r\n\r\n | between events | 18     |
      | id: 1\rdata: a\r\r       | between events | 15     |
      | id: 1\ndata: a\n         | inside one     | 0      |
      | id: 1\r\ndata: a\r\n     | inside one     | 0      |
      | id: 1\ndata: a\n\nid     | inside one     | 15     |
      | data: a\n\n: alive\n     | between events | 17     |
      | data: a\n\n: ali         | between events | 9      |
      | data: a\n: alive\n       | inside one     | 0      |
      | data: a\n\n\n\r\n        | between events | 12     |
