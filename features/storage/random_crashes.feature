Feature: Storage under crashes at random points
  Whatever a sync has vouched for is found again, and nothing else is made up.

  Scenario: Random calls and crashes find only states that were passed through
    When 150 random schedules of calls and crashes run on a group's storage
    Then the storage model check found no violation

  Scenario Outline: The model check finds known-bad variants
    When random schedules run on a group's storage with the defect "<defect>"
    Then the storage model check found a violation

    Examples:
      | defect           |
      | sync-lies        |
      | ack-before-sync  |
      | no-checksum      |
      | no-folder-sync   |
