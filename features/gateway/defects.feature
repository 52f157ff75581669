Feature: Each known-bad variant of the gateway is noticed by a check that passes without it

  Scenario Outline: The check passes on the gateway as it is
    When the gateway check "<check>" runs
    Then the gateway check finds nothing wrong

    Examples:
      | check                     |
      | whole streams             |
      | refusals are true         |
      | at most once              |
      | leaving runners left alone |
      | planned stop cuts nothing |

  Scenario Outline: The check notices the defect
    Given the gateway has the defect "<defect>"
    When the gateway check "<check>" runs
    Then the gateway check finds a breach

    Examples:
      | defect             | check                      |
      | no-attempt-check   | whole streams              |
      | refuse-after-send  | refusals are true          |
      | retry-any          | at most once               |
      | ignore-drain       | leaving runners left alone |
      | stop-at-once       | planned stop cuts nothing  |
