Feature: A node's states take a snapshot whole or not at all

  Scenario Outline: A reading that fails on the way changes nothing of the state
    Given the <state> with something in it
    When it is restored from a reading of other content that fails after <count> chunks
    Then the error of the reading has come through
    And that state still holds what it held

    Examples:
      | state                          | count |
      | state of the ledger group      | 0     |
      | state of the ledger group      | 1     |
      | state of the root group        | 0     |
      | state of the root group        | 1     |

  Scenario: A state of no jobs is restored from no chunk
    Given the state of the ledger group with something in it
    When it is restored from the snapshot of a state of no jobs
    Then that state holds no job

  Scenario: A node whose snapshot can't be read to its end is told so when its group is opened
    When a node opens a group whose snapshot can't be read to its end
    Then it gets a fault at "fleet.open_group" that names the group and the reason
