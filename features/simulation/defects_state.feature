Feature: Checkers notice known-bad variants of the replicated state

  Scenario Outline: <defect> is noticed
    Given a simulated guayaquil with seed 1 for 0.75 minutes
    When the simulated run ends with the failures that show <defect>
    Then the run without the variant has no violation
    And the run with <defect> is noticed by one of its checkers

    Examples:
      | defect             |
      | ack-before-sync    |
      | no-result-fence    |
      | no-job-key         |
      | cancel-not-revoking |
      | lease-never-lapses |
      | no-config-lease    |
      | in-force-too-early |
      | revision-may-fall  |
      | no-change-window   |

  Scenario: Every known-bad variant has its scenario
    Then each listed known-bad variant stands in a feature of the simulation
