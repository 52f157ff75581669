Feature: The consensus log in memory agrees with a plain list under any operations

  Scenario: Appends, truncations, compactions and resets
    Then under any operations the consensus log agrees with a list of entries and memberships

  Scenario: Which writes count as synced
    Then under any order of writes, truncations and syncs no consensus write counts as synced too early

  Scenario: Any two memberships of one step apart have overlapping quorums
    Then every consensus membership change of one step has overlapping quorums, larger ones are refused
