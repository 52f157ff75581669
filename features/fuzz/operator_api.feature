Feature: Fuzzing of the operator API
  The operator API answers with a result or with a typed error that names its step, and the
  replicated state stays readable.

  Background:
    Given an operator API for fuzzing, over a control fleet

  Scenario Outline: Bodies of resources
    When <count> fuzzed bodies of a <kind> come with <method>
    Then each fuzzed operator call was answered, or refused with a step
    And the fuzzed state can be listed, and is the same on every replica

    Examples:
      | method | kind    | count |
      | PUT    | Service | 50    |
      | PUT    | Tenant  | 50    |
      | PUT    | Runner  | 50    |
      | PATCH  | Tenant  | 50    |
      | DELETE | Tenant  | 50    |

  Scenario: Submitted jobs
    When 100 fuzzed jobs are submitted to the operator API
    Then each fuzzed operator call was answered, or refused with a step
    And the fuzzed state can be listed, and is the same on every replica

  Scenario: Paths, arguments and methods
    When 150 fuzzed paths and arguments are called on the operator API
    Then each fuzzed operator call was answered, or refused with a step
    And the fuzzed state can be listed, and is the same on every replica

  Scenario: Headers
    When 80 fuzzed headers come with a list of the operator API
    Then each fuzzed operator call was answered, or refused with a step
    And the fuzzed state can be listed, and is the same on every replica
