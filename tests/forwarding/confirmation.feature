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

  # Guards against requests sent to endpoints that left while the VM stood still and the
  # connection was being made.
  Scenario: What is known is confirmed after a stall during connecting
    Given a forwarder that stands still while it connects
    When a caller's request is served
    Then it was sent by confirmed knowledge
