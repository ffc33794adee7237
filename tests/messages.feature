Feature: Messages between VMs
  Bytes that are not a known message are rejected.

  Scenario: A message is unchanged after encoding and decoding
    Given a submit message with one waiting handle
    When the message is encoded and decoded
    Then the decoded message equals the first one

  Scenario: Unknown bytes raise a transport error
    When the bytes "93a5666f6f" are decoded as a message
    Then decoding fails with a transport error
