Feature: A lost disk is repaired automatically, with a correct status meanwhile

  Scenario: A replica whose disk was lost returns with a new identity, first as a learner
    Given a consensus group of 5 replicas that repairs after 3 seconds
    And 60 numbers are committed in the consensus group
    When a replica of the consensus group loses its disk and starts again
    Then the consensus group adds no new member for 3 seconds
    And the consensus group's memberships go through learner, voter beside the old one, old one gone
    And the new member held everything committed when the consensus group promoted it
    And every replica of the consensus group applies all of them

  Scenario: A replica with an empty disk doesn't vote under its previous identity
    Given a consensus group of 3 replicas that repairs after 60 seconds
    And 5 numbers are committed in the consensus group
    When a follower of the consensus group is cut off by dropped packets
    And 5 numbers are committed in the consensus group
    And the other two replicas of the consensus group fail: one loses its disk, one its power
    And the cut-off replica of the consensus group is connected again
    Then the consensus group elects no leader for 30 seconds
    When the crashed replica of the consensus group starts again
    Then every replica of the consensus group that kept its disk applies all of them

  Scenario: Two lost disks are repaired one after the other
    Given a consensus group of 5 replicas that repairs after 3 seconds
    And 60 numbers are committed in the consensus group
    When two replicas of the consensus group lose their disks and start again
    Then the consensus group never has two learners, and is healthy within 30 seconds
    And every replica of the consensus group applies all of them

  Scenario Outline: A second loss right after a repair loses nothing
    Given a consensus group of <replicas> replicas that repairs after 3 seconds
    And 60 numbers are committed in the consensus group
    When a replica of the consensus group loses its disk and starts again
    And the consensus group becomes healthy again
    And <more> further replicas of the consensus group lose their disks at that moment for good
    Then the consensus group goes on and holds everything acknowledged

    Examples:
      | replicas | more |
      | 3        | 1    |
      | 5        | 2    |

  Scenario Outline: A repair finishes under steady load
    Given a consensus group of 3 replicas that snapshots every <entries> entries, with load and syncs of <sync> ms
    When a replica of the consensus group loses its disk and starts again
    Then the consensus group never has two learners, and is healthy within 30 seconds
    And the consensus group's load went on all the time

    Examples: frequent snapshots, or a learner that always lags by some entries
      | entries | sync |
      | 100     | 2    |
      | 10000   | 50   |

  Scenario: A permanently lost learner doesn't block other repairs
    Given a consensus group of 5 replicas that repairs after 3 seconds
    And 60 numbers are committed in the consensus group
    When a replica of the consensus group loses its disk, and its successor crashes as a learner
    And another replica of the consensus group loses its disk and starts again
    Then the consensus group repairs the other replica within 30 seconds
    When the dead learner of the consensus group starts again
    Then the consensus group never has two learners, and is healthy within 30 seconds

  Scenario: A leader that loses its disk is replaced as any other
    Given a consensus group of 3 replicas that repairs after 3 seconds
    And 60 numbers are committed in the consensus group
    When the leader of the consensus group loses its disk and starts again
    Then the consensus group never has two learners, and is healthy within 30 seconds
    And every replica of the consensus group applies all of them

  Scenario: The group tolerates exactly as many losses as its status reports
    Then at every stage of failure and repair a consensus group's status is correct:
      | stage                                  | health    | losses |
      | nothing has happened                   | Healthy   | 2      |
      | one replica is down                    | Degraded  | 1      |
      | two replicas are down                  | Degraded  | 0      |
      | one replica is back from the power cut | Healthy   | 2      |
      | one disk is lost                       | Degraded  | 1      |
      | its successor is a learner             | Repairing | 1      |
      | the old identity still votes           | Repairing | 1      |
      | the repair is done                     | Healthy   | 2      |
      | one replica is far behind              | Degraded  | 1      |
      | the leader has just changed            | Degraded  | 1      |

  Scenario: Replicas that don't lead never claim to be healthy
    Given a consensus group of 3 replicas that repairs after 3 seconds
    And 5 numbers are committed in the consensus group
    Then the followers of the consensus group report Degraded and no tolerated loss
    When the leader of the consensus group is cut off by dropped packets
    Then the cut-off leader of the consensus group reports the same within 2 seconds
