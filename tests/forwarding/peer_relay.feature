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
