Feature: Relays to other VMs by one that reaches no endpoint

  # Guards against refusals of all requests for a second, beside a change of the
  # configuration, because the only other VM did not accept one of them.
  Scenario Outline: A VM that <answer> is <state> for other requests
    Given a VM that is cut off, and another one that <answer>
    When a request is relayed
    Then it is not served
    And the other VM is <state>

    Examples:
      | answer                         | state       |
      | does not accept the request    | asked       |
      | can serve no request           | passed over |
      | can't be reached               | passed over |

  Scenario Outline: A VM tells why it can't serve a relayed request: <why>
    Given a VM to which others relay, and <why>
    When another VM's request comes
    Then it is answered 421, as of a VM that <answer>

    Examples:
      | why                      | answer                      |
      | its route is not known   | does not accept the request |
      | the VM is starting       | can serve no request        |
      | the VM is stopping       | can serve no request        |
      | the VM is cut off itself | can serve no request        |

  # Guards against a refusal of another relayed request that is taken for this one's.
  Scenario: An answer to another relayed request is not taken for this one's
    Given another VM that answers an earlier relayed request again with 503, then 200
    When a request is sent to that VM
    Then its answer is 200

  Scenario Outline: Each answer to a relayed request names it: <why>
    Given a VM to which others relay, and <why>
    When another VM's request comes with the relay id "c7"
    Then its answer names the relay id "c7"

    Examples:
      | why                    |
      | its route is not known |
      | the VM is stopping     |
