Feature: A node's states are restored from a snapshot completely or not at all

  Scenario Outline: A read that fails halfway leaves the state unchanged
    Given the <state> with something in it
    When it is restored from a read of other content that fails after <count> chunks
    Then the read error is raised
    And that state is unchanged

    Examples:
      | state                          | count |
      | state of the ledger group      | 0     |
      | state of the ledger group      | 1     |
      | state of the root group        | 0     |
      | state of the root group        | 1     |

  Scenario: A state without jobs is restored from zero chunks
    Given the state of the ledger group with something in it
    When it is restored from the snapshot of a state without jobs
    Then that state holds no job

  Scenario: Opening a group whose snapshot is incomplete fails with a fault
    When a node opens a group whose snapshot is incomplete
    Then it gets a fault at "fleet.open_group" that names the group and the reason
