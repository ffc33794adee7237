@processes
Feature: Proof that strangers are not heard between VMs
  Each VM has a key pair of its own and a table of the others' public keys.
  Whoever lacks a listed key, states another's name or repeats what was sent
  before changes nothing; malformed messages of a listed key crash nothing.

  Background:
    Given a strangers proof with a key for each VM, and one for "guest"

  Scenario: No stranger can put a branch in force
    When these strangers send a branch of a higher version to every VM
      | stranger                              | refused as                          |
      | a peer in the clear                   |                                     |
      | a peer with an unlisted key           | key not listed                      |
      | the guest in the name of another VM   | the key is not the stated sender's  |
      | the guest's recorded bytes sent again |                                     |
      | the guest's frame sent again          | message repeated                    |
      | the guest's frame of an earlier start | message of an earlier start         |
    Then no VM of the strangers proof has that branch in force
    And each stranger was refused as stated
    When the guest itself sends a branch of a higher version to every VM
    Then every VM of the strangers proof has that branch in force

  Scenario: Malformed messages crash nothing
    When the guest sends 2000 fuzzed messages and 500 fuzzed frames to every VM
    Then every VM of the strangers proof answers its callers and reports no fault
    And every VM of the strangers proof has logged refused messages
    And no log of the strangers proof holds a private key
