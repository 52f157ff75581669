Feature: Checkers notice known-bad variants of serving and batch

  Scenario Outline: <defect> is noticed
    Given a simulated guayaquil with seed 1 for 0.75 minutes
    When the simulated run ends with the failures that show <defect>
    Then the run without the variant has no violation
    And the run with <defect> is noticed by one of its checkers

    Examples:
      | defect                |
      | no-preemption         |
      | no-attempt-check      |
      | replay-without-prefix |
      | refuse-after-send     |
      | retry-any             |
      | no-claim              |
      | ignore-drain          |
      | stop-at-once          |
