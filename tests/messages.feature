Feature: Messages between VMs
  A VM never acts on bytes that are not a message of ours.

  Scenario: A message survives the wire
    Given a submit message with one waiting handle
    When the message is encoded and decoded
    Then the decoded message equals the first one

  Scenario: Foreign bytes are refused with a type
    When the bytes "93a5666f6f" are decoded as a message
    Then decoding fails with a transport error
