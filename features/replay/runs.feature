Feature: A trace is replayed
  The simulated fleet runs on the virtual clock; a caller API is called over HTTP.

  Scenario Outline: The samples of both sites hold, twice with the same history
    When the sample of <site> is replayed against the simulated fleet twice
    Then every stated outcome of the sample held, and no invariant was broken
    And all requests, jobs and changes of the sample were replayed
    And both replays recorded the same history

    Examples:
      | site      |
      | guayaquil |
      | taoyuan   |

  Scenario: An outcome that does not hold ends the command with code 3
    Given an outcomes file "[[outcomes]]; name = "a"; of = {class = "online"}; require = "latency"; percentile = 99; within_s = 0.01"
    When a replay command runs "replay examples/guayaquil/trace.avro --outcomes COPY"
    Then the replay command ends with code 3
    And its last line has "broken" = 1
    And its last line has "outcomes.0.offending_count" = 162

  Scenario: Failures can be replayed along with a trace
    Given a fault plan file that cuts the engine link of "positions-1" for 20 seconds
    And an outcomes file "[[outcomes]]; name = "a"; of = {class = "non_repeatable"}; require = "outcome"; outcome = ["completed"]"
    When a replay command runs "replay examples/guayaquil/trace.avro --outcomes COPY --faults PLAN"
    Then the replay command ends with code 3

  Scenario: A known-bad variant breaks a stated outcome of the sample
    Given the known-bad variant "retry-any" and its demonstration
    When the sample of guayaquil is replayed under the variant
    Then the replay finds the variant

  Scenario: A caller API is replayed over HTTP
    Given a caller API double that answers as the emulated engines do
    When a short trace is replayed against its URL ten times as fast
    Then every request reached the caller API once, with its class, tenant and own id
    And the live replay's outcomes are "whole held, outcome held, at_most_once not_observed, batch held"
    And not seeing an outcome fails the live replay unless that is allowed

  Scenario: A stream that breaks off and an answer of another are seen over HTTP
    Given a caller API double that cuts the stream of "q1" and answers "q2" wrongly
    When a short trace is replayed against its URL ten times as fast
    Then the live replay is broken by "q1" as to its outcome and by "q2" as to wholeness

  Scenario: A refused request is sent again when the caller API says so
    Given a caller API double that refuses each request once as not run
    When a short trace is replayed against its URL ten times as fast
    Then every request of the short trace was sent twice and completed
