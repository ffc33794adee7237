Feature: Parts of prompts that crash endpoints
  A part is known by its id, whatever else a request holds.

  Scenario Outline: Which parts of a prompt may be shared with others
    Then the parts that a prompt "<described>" may share are "<parts>"

    Examples:
      | described                  | parts    | why                              |
      | 5c1e:800,91bd:410,e4:250   | 5c1e 91bd | the last one is the request's   |
      | e4402b7d:250               | none     | the only one is the last         |
      | 5C1E:800 , e4:250          | 5c1e     | digits and spaces mean the same  |
      | 5c1e,e4:250                | none     | it has no length                 |
      | 5c1e:800,,e4:250           | none     | one is empty                     |
      | xyz:800,e4:250             | none     | the id is no hexadecimal number  |
      |                            | none     | the prompt is not described      |

  # Guards against memory that callers could fill.
  Scenario: Parts of prompts are bounded in number and length
    Then at most 16 parts of a prompt are known
    And a part whose id has more than 64 digits is not known

  Scenario: A part has another fingerprint at another service, and no request has it
    Then the part "5c1e" has another fingerprint at another service
    And no fingerprint of a part is that of a request
