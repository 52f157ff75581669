Feature: The replicated state is a deterministic function of the commands

  Scenario: A restore at any point does not affect later commands
    Then random commands on a replicated state give the same answers and the same snapshot, restored or not

  Scenario: A snapshot captures the state at the call, whatever is applied while it is encoded
    Then random commands between the chunks of a replicated state's snapshot don't show in it

  Scenario: Snapshots don't depend on the process's hash seed
    Then processes with other hash seeds take the same snapshot of the replicated state

  Scenario: A snapshot comes in chunks of a bounded size
    Given a replicated state with small snapshot chunks and a job of 400 items
    Then no chunk of the replicated state's snapshot is much larger than its bound
    And the replicated state restored from these chunks takes the same snapshot

  Scenario Outline: A snapshot that can't be read is refused
    Given a replicated state with small snapshot chunks and a job of 400 items
    When the replicated state's snapshot is <damage>
    Then restoring it raises a fault at step "state.restore"

    Examples:
      | damage                   |
      | cut in its first chunk   |
      | missing its first chunk  |
      | of a later format        |
      | replaced by other bytes  |
      | without any chunk        |
