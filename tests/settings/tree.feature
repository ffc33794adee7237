Feature: The settings tree from declarations
  Every problem is reported at once, with file, line and what is allowed.

  Scenario Outline: Both deployments of the examples pass the checks
    When the settings tree of example "<deployment>" is compiled
    Then the settings tree is for region "<region>"
    And the settings service "<engine>" has <engines> endpoints in 3 data centres
    And the settings service "<plain>" has <plains> endpoints in 3 data centres
    And the settings branches compile to the same tree

    Examples:
      | deployment | region      | engine          | engines | plain             | plains |
      | comision   | golfo-norte | modelo-bitacora | 5       | registro-capturas | 3      |
      | cedarline  | bc-west     | pomelo-pool     | 6       | filing-portal     | 3      |

  Scenario: Keys of the demo fit the digests of the examples
    Then the settings demo keys of "comision" fit its tree
    And the settings demo keys of "cedarline" fit its tree

  Scenario Outline: A wrong declaration is reported where it stands
    Given a settings directory
    And in settings file "<file>" the text "<old>" is replaced by "<new>"
    When the settings directory is compiled
    Then a settings problem is at "<file>" where "<at>" with "<problem>" allowing "<allowed>"

    Examples:
      | file            | old                  | new                   | at                   | problem                  | allowed                |
      | fleet/t.yaml    | deadline_ms: 500     | deadline_s: 5         | deadline_s           | did you mean deadline_ms | deadline_ms            |
      | fleet/t.yaml    | deadline_ms: 500     | deadline_ms: 5s       | deadline_ms          | '5s' is not allowed      | milliseconds           |
      | fleet/t.yaml    | deadline_ms: 500     | deadline_ms: 0        | deadline_ms          | 0 is not allowed         | from 1 to 86,400,000   |
      | fleet/t.yaml    | deadline_ms: 500     | deadline_ms: 1.5      | deadline_ms          | 1.5 is not allowed       | a whole number         |
      | fleet/t.yaml    | tier: urgent         | tier: golden          | tier: golden         | no tier 'golden'         | urgent                 |
      | fleet/t.yaml    | kind: engine         | kind: motor           | kind: motor          | 'motor'                  | engine, plain          |
      | fleet/t.yaml    | service: asker       | service: nobody       | service: nobody      | no service 'nobody'      | asker                  |
      | fleet/t.yaml    | service: asker       | service: ledger       | service: ledger      | belongs to the branch of team 'quota' | asker     |
      | fleet/t.yaml    | - asker              | - ledger              | - ledger             | belongs to the branch of team 'quota' | asker     |
      | fleet/t.yaml    | weight: 0.5          | weight: 0.7           | weight: 0.7          | sum to 1.2               | leave 0.5              |
      | fleet/t.yaml    | weight: 0.9          | weight: 1.1           | weight: 1.1          | 1.1 is not allowed       | at most 1              |
      | fleet/t.yaml    | weight: 0.9          | weight: 0.95          | weight: 0.95         | sum to 1.05              | leave 0.9              |
      | fleet/t.yaml    | address: 127.0.0.1:1 | address: localhost:1  | address: localhost   | not allowed              | ip:port                |
      | quota/q.yaml    | name: ledger         | name: asker           | name: asker          | declared already in      | unique                 |
      | fleet/t.yaml    | name: boats          | name: nets            | name: nets           | declared already in      | unique                 |
      | fleet/t.yaml    | team:                | crew:                 | crew:                | unknown key              | team                   |
      | fleet/t.yaml    | slots: 4             | slots: many           | slots: many          | 'many' is not allowed    | a whole number         |
      | fleet/t.yaml    | slots: 4             | slots: 4: 5           | slots: 4: 5          | no YAML                  | well-formed            |
      | fleet/t.yaml    | concurrency: 5       | concurrency: 50       | concurrency: 50      | above the team's limit   | at most 10             |
      | platform/p.yaml | rank: 1              | rank: 0               | rank: 0              | declared already in      | unique                 |
      | platform/p.yaml | region: here         | zone: here            | zone: here           | unknown key              | region                 |
      | quota/q.yaml    | kind: plain          | kind: engine          | name: ledger         | model is missing         | model                  |

  Scenario: All problems come at once
    Given a settings directory
    And in settings file "fleet/t.yaml" the text "slots: 4" is replaced by "slots: -4"
    And in settings file "fleet/t.yaml" the text "deadline_ms: 500" is replaced by "deadline_ms: x"
    And in settings file "quota/q.yaml" the text "kind: plain" is replaced by "kind: sauce"
    When the settings directory is compiled
    Then there are 3 settings problems

  Scenario: A key's digest is never shown
    Given a settings directory
    And in settings file "fleet/t.yaml" the text "key_sha256: aa" is replaced by "key_sha256: zz"
    When the settings directory is compiled
    Then no settings problem holds "zz"
