Feature: Simulated runs are repeatable and failing ones are shrunk

  Scenario: The same seed gives the same history in new processes
    When guayaquil runs with seed 5 for 0.5 minutes in new processes with hash seeds 1 and 77
    Then both processes print the same history hash

  Scenario: Another seed gives another history
    Given a simulated guayaquil with seed 5 for 0.4 minutes
    When the simulated run ends with the failures drawn from its seed
    And another simulated run with seed 6 ends
    Then the two histories differ

  Scenario: A failing plan is reduced to what makes it fail
    Given a simulated guayaquil with seed 1 for 0.75 minutes
    And a failing plan in which only the drain of reports-1 matters
      | kind                 | target        | start_s | duration_s |
      | weight_store_starved |               | 10.0    | 4.0        |
      | runner_drain         | reports-1     | 12.0    | 28.0       |
      | engine_crash         | positions-2   | 14.0    | 3.0        |
      | replica_crash        | replica-4     | 20.0    | 3.0        |
    When the plan is shrunk with the known-bad variant ignore-drain
    Then the shrunk plan has 1 failure, of kind runner_drain
    And the shrunk plan can be written, read and run again with the same violation

  Scenario: A fault plan that is not one is refused with the place
    When a fault plan is read in which the kind of action 1 is "meteor"
    Then the plan is refused with the place "actions.1.kind"
