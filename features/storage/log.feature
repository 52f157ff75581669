Feature: The durable log of a group
  Group commit: writes are queued in memory and become durable with one sync per batch.

  Scenario: Synced writes are found again after a power cut
    Given a group's storage on a simulated disk
    When the storage gets 5 entries of term 1 and a vote for "replica-2" in term 4
    And the storage is synced
    And the storage gets 3 entries of term 2
    And the power is cut and the storage opened again
    Then the storage holds entries 1 to 5
    And the storage holds the vote for "replica-2" in term 4
    And the storage knows term 1 at entry 5 and none at entry 6

  Scenario: Writes are queued while a sync is running
    Given a group's storage on a simulated disk
    And the storage holds 1 synced entry
    When 20 entries are each appended and synced without waiting
    Then the storage used 2 syncs for the 20 entries
    And the storage answered all 20 syncs in order

  Scenario: A sync requested while another runs covers what was queued in between
    Given a group's storage on a simulated disk
    And the storage holds 1 synced entry
    When an entry is synced and a second one queued and synced half a latency later
    Then the second answer of the storage came one sync after the first
    When the power is cut and the storage opened again
    Then the storage holds entries 1 to 3

  Scenario: A sync with nothing queued answers at once
    Given a group's storage on a simulated disk
    And the storage holds 1 synced entry
    Then a further sync of the storage is answered without the disk

  Scenario: A truncated suffix stays removed and can be replaced
    Given a group's storage with 400-byte segments on a simulated disk
    When the storage gets 20 entries of term 1
    And the storage is synced
    And the storage is truncated from entry 8
    And the storage gets 2 entries of term 3
    And the storage is synced
    And the power is cut and the storage opened again
    Then the storage holds entries 1 to 9
    And the storage knows term 3 at entry 8 and none at entry 10

  Scenario: Entries older than the cache are read from the segments, up to a size limit
    Given a group's storage with 400-byte segments on a simulated disk
    When the storage gets 50 entries of term 1
    And the storage is synced
    Then the storage caches fewer than 50 entries
    And the storage reads back entries 1 to 50 as they were appended
    And the storage returns 1 entry from entry 3 on for a bound of 0 bytes
    And the storage returns 4 entries from entry 3 on for a bound of 80 bytes

  Scenario Outline: Invalid calls are refused and change nothing
    Given a group's storage on a simulated disk
    And the storage holds 3 synced entries
    Then the storage refuses an invalid call: <call>
    And the storage holds entries 1 to 3

    Examples:
      | call                     |
      | an entry after a gap     |
      | a truncation from entry 0 |
      | a read beyond the end    |
