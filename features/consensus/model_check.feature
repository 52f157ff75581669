Feature: The consensus core keeps its safety properties under random schedules

  Scenario: Fixed seeds find no violation and cover the events of interest
    When the model check runs 350 schedules from seed 1000
    Then the model check finds no violation
    And the model check has reached at least:
      | what                | times |
      | elections           | 1000  |
      | commits             | 5000  |
      | reads_answered      | 2500  |
      | lease_checks        | 50000 |
      | disk_losses         | 200   |
      | two_disks_away      | 50    |
      | membership_changes  | 250   |
      | crashes_in_change   | 400   |
      | installs_in_change  | 30    |
      | snapshots_installed | 80    |
      | readings_failed     | 30    |
      | early_ends          | 10    |
      | transfers_won       | 100   |
      | promotions          | 30    |
      | repairs_finished    | 8     |
      | foundings           | 30    |

  Scenario Outline: The bug in each known-bad variant is found
    Given the consensus group has the defect "<defect>"
    When the model check runs up to <schedules> schedules from seed <seed>
    Then the model check finds a violation of "<property>"
    And the model check finds it again from the violation's own seed

    Examples:
      | defect                 | seed | schedules | property                |
      | ack-before-sync        | 8    | 60        | durable-acknowledgement |
      | empty-disk-votes       | 1    | 60        | durable-acknowledgement |
      | no-pre-vote-stale-read | 1    | 60        | lease-promise           |
      | half-snapshot          | 1    | 60        | whole-snapshot          |
      | commit-older-term      | 41   | 60        | leader-completeness     |

  Scenario: The check finds a vote that breaks the lease in the member's own term
    Given a consensus core that ignores a live leader's lease when it is in the candidate's term
    When the model check runs up to 30 schedules from seed 1060
    Then the model check finds a violation of "lease-promise"

  Scenario Outline: The command's exit code and last line report the result
    When "rainsail check consensus --schedules 30 --seed <seed> <option>" is run
    Then the model check's command ends with exit code <code> and one JSON object as last line

    Examples:
      | seed | option                  | code |
      | 5    |                         | 0    |
      | 5    | --defect ack-before-sync | 3   |
      | 5    | --defect nothing-known  | 2    |
