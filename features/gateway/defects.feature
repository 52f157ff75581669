Feature: Each known defect of the gateway is detected by a check that passes without it

  Scenario Outline: The check passes on the unmodified gateway
    When the gateway check "<check>" runs
    Then the gateway check finds nothing wrong

    Examples:
      | check                     |
      | whole streams             |
      | refusals are true         |
      | at most once              |
      | leaving runners left alone |
      | planned stop cuts nothing |

  Scenario Outline: The check detects the defect
    Given the gateway has the defect "<defect>"
    When the gateway check "<check>" runs
    Then the gateway check finds a violation

    Examples:
      | defect             | check                      |
      | no-attempt-check   | whole streams              |
      | refuse-after-send  | refusals are true          |
      | retry-any          | at most once               |
      | ignore-drain       | leaving runners left alone |
      | stop-at-once       | planned stop cuts nothing  |
