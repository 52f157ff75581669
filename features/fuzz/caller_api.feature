Feature: Fuzzing of the caller API, and of the clients that read answers
  The caller API answers with a result or with a typed error that names its step, and keeps serving.

  Background:
    Given a caller API for fuzzing that limits bodies to 20000 bytes

  Scenario Outline: Bodies of <path>
    When <count> fuzzed bodies are posted to <path>
    Then each fuzzed call was answered completely, or refused with a step and an outcome
    And the fuzzed caller API still answers

    Examples:
      | path                 | count |
      | /v1/completions      | 120   |
      | /v1/chat/completions | 120   |
      | /v1/batches          | 120   |

  Scenario: Headers
    When 180 fuzzed sets of headers come with a completion
    Then each fuzzed call was answered completely, or refused with a step and an outcome
    And the fuzzed caller API still answers

  Scenario: Uploaded forms
    When 120 fuzzed forms are uploaded
    Then each fuzzed call was answered completely, or refused with a step and an outcome
    And the fuzzed caller API still answers

  Scenario: Batch input files
    When 120 fuzzed input files are uploaded and made into batches
    Then each fuzzed call was answered completely, or refused with a step and an outcome
    And the fuzzed caller API still answers

  Scenario: Paths and methods
    When 120 fuzzed paths are called with any method
    Then each fuzzed call was answered completely, or refused with a step and an outcome
    And the fuzzed caller API still answers

  Scenario: A body far over the limit is not buffered
    When 30 MB are posted to the fuzzed caller API's completions
    Then the fuzzed caller API refused it, or closed the connection, without buffering it
    And the fuzzed caller API still answers

  Scenario: Event streams of an engine, split at any place
    When 500 fuzzed streams of events are parsed whole and in pieces
    Then each fuzzed stream gave the same events, or the same error, both ways
    And no fuzzed parser buffered more than its limit

  Scenario: Frames of an engine
    When 600 fuzzed frames of an engine's stream are decoded
    Then each fuzzed frame was a chunk, an end or a value error

  Scenario: Answers that a replay reads
    When 300 fuzzed streams and error bodies reach the replay's client
    Then each fuzzed answer was accepted or refused with a value error
