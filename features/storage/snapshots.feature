Feature: Snapshots and compaction
  A snapshot is valid once it is synced and renamed and its folder synced; until then the log is used.

  Scenario: A snapshot replaces the log before it
    Given a group's storage with 400-byte segments on a simulated disk
    And the storage holds 40 synced entries, each with its own sync
    When a snapshot of entry 30 is saved
    Then the storage holds entries 31 to 40
    And the storage knows term 1 at entry 30 and none at entry 29
    And the storage kept fewer segments than before
    When the power is cut and the storage opened again
    Then the storage holds entries 31 to 40
    And the snapshot of entry 30 reads back

  Scenario: Entries before a snapshot are retained when the settings say so
    Given a group's storage that retains 10 entries on a simulated disk
    And the storage holds 40 synced entries, each with its own sync
    When a snapshot of entry 30 is saved
    Then the storage holds entries 21 to 40
    When the power is cut and the storage opened again
    Then the storage holds entries 21 to 40

  Scenario: A snapshot ahead of the log replaces it
    Given a group's storage with 400-byte segments on a simulated disk
    And the storage holds 5 synced entries
    When a snapshot of entry 100 in term 7 is installed
    Then the storage is empty after entry 100
    When the storage gets 2 entries of term 7
    And the storage is synced
    And the power is cut and the storage opened again
    Then the storage holds entries 101 to 102
    And the snapshot of entry 100 reads back

  Scenario: A snapshot that conflicts with the log replaces it
    Given a group's storage on a simulated disk
    And the storage holds 5 synced entries
    When a snapshot of entry 3 in term 7 is installed
    Then the storage is empty after entry 3

  Scenario Outline: An interrupted snapshot is ignored and removed
    Given a group's storage on a simulated disk
    And the storage holds 5 synced entries
    When a snapshot of entry 4 is interrupted by a power cut <moment>
    Then the storage holds entries 1 to 5
    And the storage has no snapshot
    And no temporary file is left in the storage

    Examples:
      | moment                                |
      | before its sync                       |
      | between its sync and its rename's sync |

  Scenario: An installation interrupted before the log reset is completed at the next start
    Given a group's storage on a simulated disk
    And the storage holds 5 synced entries
    When installing a snapshot of entry 100 in term 7 is interrupted before the reset
    Then the storage is empty after entry 100
    When the storage gets 2 entries of term 7
    And the storage is synced
    And the power is cut and the storage opened again
    Then the storage holds entries 101 to 102

  Scenario: Of concurrent snapshots the newest one is retained
    Given a group's storage on a simulated disk
    And the storage holds 9 synced entries
    When snapshots of entries 4, 8 and 6 are saved without waiting
    Then the storage holds entries 9 to 9
    And the snapshot of entry 8 reads back
    And no temporary file is left in the storage

  Scenario: The log stays usable when the disk is too full for a snapshot
    Given a group's storage on a simulated disk
    And the storage holds 5 synced entries
    When the disk has room for 300 more bytes and a snapshot of entry 4 is saved
    Then the snapshot is answered with a fault that names "No space left"
    And no temporary file is left in the storage
    When the storage gets 1 entry of term 1
    And the storage is synced
    Then the storage holds entries 1 to 6

  Scenario: A failed sync of a snapshot is final
    Given a group's storage on a simulated disk
    And the storage holds 5 synced entries
    When the disk fails the sync of a snapshot of entry 4
    Then every later sync of the storage answers with the same fault

  Scenario Outline: A storage with a damaged snapshot refuses to open
    Given a group's storage on a simulated disk
    And the storage holds 5 synced entries
    And a snapshot of entry 4 was saved
    When the snapshot of entry 4 has <damage>
    Then the storage refuses to open, naming the snapshot of entry 4 and an offset

    Examples:
      | damage             |
      | a flipped bit      |
      | its end cut off    |
      | a chunk removed    |
      | bytes after its end |
