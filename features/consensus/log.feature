Feature: The in-memory consensus log agrees with a plain list under any operations

  Scenario: Appends, truncations, compactions and resets
    Then under any operations the consensus log agrees with a list of entries and memberships

  Scenario: Which writes count as synced
    Then under any order of writes, truncations and syncs no consensus write counts as synced too early

  Scenario: Any two memberships of one step apart have overlapping quorums
    Then every consensus membership change of one step has overlapping quorums, larger ones are refused

  Scenario Outline: Entries behind a snapshot stay in memory up to a number and up to a size
    Given a consensus log of 10 entries of 100 bytes each
    When a snapshot at entry 8 keeps <entries> entries and <bytes> bytes at most
    Then the consensus log begins with entry <first>

    Examples:
      | entries | bytes | first |
      | 5       | 1000  | 4     |
      | 5       | 250   | 7     |
      | 5       | 100   | 8     |
      | 0       | 1000  | 9     |
      | 5       | 0     | 9     |
      | 50      | 9000  | 1     |
