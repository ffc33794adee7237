Feature: Requests wait until what a VM knows is confirmed

  # Guards against answers by old knowledge after two stalls: the time limit passed while
  # the event loop stood still, with the store's answer unread in the socket.
  Scenario: A stall of the event loop is not taken for silence of the store
    Given knowledge that is too old
    When the event loop stands still for 300 ms while a request waits, and the answer is handled 20 ms later
    Then the request has waited for the answer

  Scenario: A silent source holds up the first requests only
    Given knowledge that is too old
    Then a request waits for at most 250 ms, and the next one not at all
