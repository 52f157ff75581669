Feature: Damaged, torn and failing disks
  A torn tail is truncated. With any other damage the storage refuses to open and names the file and
  the offset.

  Scenario: A torn last record is truncated
    Given a group's storage on a simulated disk
    And the storage holds 4 synced entries
    When 5 bytes of a further record were written before the power was cut
    And the storage is opened again
    Then the storage holds entries 1 to 4
    And the storage's segment has no bytes after its last valid record

  Scenario: A torn record before valid ones of the same batch is truncated with them
    Given a group's storage on a simulated disk
    And the storage holds 4 synced entries
    When a batch of 3 entries loses its first sector in a power cut
    And the storage is opened again
    Then the storage holds entries 1 to 4

  Scenario Outline: A storage with a flipped bit refuses to open
    Given a group's storage on a simulated disk
    And the storage holds 4 synced entries
    When one bit flips in the <part> of entry <entry>
    Then the storage refuses to open, naming the segment and the offset of entry <entry>

    Examples:
      | part     | entry |
      | payload  | 2     |
      | length   | 2     |
      | checksum | 3     |
      | magic    | 1     |
      | payload  | 4     |
      | length   | 4     |

  Scenario: A storage with a flipped bit in a closed segment refuses to open
    Given a group's storage with 400-byte segments on a simulated disk
    And the storage holds 20 synced entries, each with its own sync
    When one bit flips at the end of the first segment
    Then the storage refuses to open, naming the segment

  Scenario: A storage with a completely corrupted segment refuses to open
    Given a group's storage on a simulated disk
    And the storage holds 20 synced entries
    When every byte of the first segment is corrupted
    Then the storage refuses to open, naming the segment

  Scenario: A segment with a torn header is replaced
    Given a group's storage with 400-byte segments on a simulated disk
    And the storage holds 4 synced entries
    When a second segment was left with 20 bytes of a header by a power cut
    And the storage is opened again
    Then the storage holds entries 1 to 4
    When the storage gets 20 entries of term 1
    And the storage is synced
    And the power is cut and the storage opened again
    Then the storage holds entries 1 to 24

  Scenario: A storage with a missing segment refuses to open
    Given a group's storage with 400-byte segments on a simulated disk
    And the storage holds 20 synced entries, each with its own sync
    When the first segment is removed from the disk
    Then the storage refuses to open because entries are missing

  Scenario: A storage with a segment of a newer format refuses to open
    Given a group's storage on a simulated disk
    When the first segment has the header of format 2
    Then the storage refuses to open because the format is newer

  Scenario: A storage with records of another group refuses to open
    Given a group's storage on a simulated disk
    And the storage holds 4 synced entries
    When its segment is copied into the folder of group 9
    Then group 9 refuses to open because of records of group 3

  Scenario: A full disk stops the storage and loses nothing that was synced
    Given a group's storage on a simulated disk
    And the storage holds 4 synced entries
    When the disk has room for 30 more bytes and 5 entries are synced
    Then the storage answers with a fault that names the segment and "No space left"
    And every later sync of the storage answers with the same fault
    When there is room on the disk again and the storage is opened
    Then the storage holds entries 1 to 4

  Scenario: A failed sync is final, also when the disk recovers
    Given a group's storage on a simulated disk
    And the storage holds 4 synced entries
    When the disk fails a sync of 2 entries while 2 more are queued
    Then both syncs of the storage answer with the same fault
    And every later sync of the storage answers with the same fault
    When the process ends and the storage is opened again
    Then the storage holds entries 1 to 4

  Scenario: Reading a damaged old entry raises a typed fault
    Given a group's storage with 400-byte segments on a simulated disk
    And the storage holds 20 synced entries, each with its own sync
    When one bit flips at the end of the first segment
    Then reading entry 1 to 10 raises a storage fault that names the first segment
