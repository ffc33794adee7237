Feature: Counting passing events

  Scenario: events are counted wherever the bytes are cut
    Given an event stream of 7 events and its end
    Then cutting the event stream anywhere counts 7 events and sees its end

  Scenario Outline: the end is seen only in the last line
    Given the event bytes "<text>"
    Then the event counter says <events> events and <end>

    Examples:
      | text                                  | events | end    |
      | data: a\n\ndata: [DONE]\n\n           | 1      | end    |
      | data: a\n\ndata:[DONE]\n\n            | 1      | end    |
      | data: a\r\n\r\ndata: [DONE]\r\n\r\n   | 1      | end    |
      | data: [DONE]\n\ndata: a\n\n           | 2      | no end |
      | data: x data: [DONE]\n\n              | 1      | no end |
      | data: a\n\ndata: [DON                 | 2      | no end |
      | : remark\n\ndata: a\n\n               | 1      | no end |

  Scenario: a JSON answer's usage is read, and junk has none
    Then the usage of a JSON answer with 12 cached tokens is read
    And the usage of junk is empty
