Feature: The intake of a very large job leaves the leader's heartbeats alone

  Scenario Outline: No follower waits an election timeout for its leader, also on slow disks
    Given 5 bench replicas on the virtual clock whose syncs take <sync_s> seconds
    When a job of 20000 items is taken in by the bench replicas
    Then no follower of the bench replicas heard nothing of its leader for an election timeout
    And the bench replicas kept their leader and hold all 20000 items

    Examples:
      | sync_s |
      | 0.002  |
      | 0.95   |
