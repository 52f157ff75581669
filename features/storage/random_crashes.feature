Feature: Storage under crashes at random points
  All synced writes are found again, and nothing that was never written.

  Scenario: After random calls and crashes the storage is in a state it had since its last sync
    When 150 random schedules of calls and crashes run on a group's storage
    Then the storage model check found no violation

  Scenario Outline: The model check detects injected defects
    When random schedules run on a group's storage with the defect "<defect>"
    Then the storage model check found a violation

    Examples:
      | defect           |
      | sync-lies        |
      | ack-before-sync  |
      | no-checksum      |
      | no-folder-sync   |
