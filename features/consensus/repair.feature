Feature: A lost disk is repaired by itself, and status tells the truth meanwhile

  Scenario: A replica whose disk was lost comes back as another identity, learner first
    Given a consensus group of 5 replicas that repairs after 3 seconds
    And 60 numbers are committed in the consensus group
    When a replica of the consensus group loses its disk and starts again
    Then the consensus group adds no newcomer for 3 seconds
    And the consensus group's memberships go through learner, voter beside the old one, old one gone
    And the newcomer held everything committed when the consensus group made it a voter
    And every replica of the consensus group applies all of them

  Scenario: An empty disk doesn't vote as the identity before it
    Given a consensus group of 3 replicas that repairs after 60 seconds
    And 5 numbers are committed in the consensus group
    When a follower of the consensus group is cut off in silence
    And 5 numbers are committed in the consensus group
    And the other two replicas of the consensus group change places: one loses its disk, one its power
    And the cut-off replica of the consensus group is connected again
    Then the consensus group elects nobody for 30 seconds
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

  Scenario Outline: A repair comes to its end under steady load
    Given a consensus group of 3 replicas that snapshots every <entries> entries, with load and syncs of <sync> ms
    When a replica of the consensus group loses its disk and starts again
    Then the consensus group never has two learners, and is healthy within 30 seconds
    And the consensus group's load went on all the time

    Examples: a snapshot is due again and again, or the learner is always some entries behind
      | entries | sync |
      | 100     | 2    |
      | 10000   | 50   |

  Scenario: A learner that goes away for good does not stand in the way of other repairs
    Given a consensus group of 5 replicas that repairs after 3 seconds
    And 60 numbers are committed in the consensus group
    When a replica of the consensus group loses its disk, and its successor dies as a learner
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

  Scenario: The losses that status says can be borne are borne, and not one more
    Then at every stage of a consensus group's troubles its status is true:
      | stage                                  | health    | losses |
      | nothing has happened                   | Healthy   | 2      |
      | one replica is down                    | Degraded  | 1      |
      | two replicas are down                  | Degraded  | 0      |
      | one replica is back from the power cut | Healthy   | 2      |
      | one disk is lost                       | Degraded  | 1      |
      | its successor is a learner             | Repairing | 1      |
      | the old identity still counts          | Repairing | 1      |
      | the repair is done                     | Healthy   | 2      |
      | one replica is far behind              | Degraded  | 1      |
      | the leader has just changed            | Degraded  | 1      |

  Scenario: Replicas that don't lead never claim to be healthy
    Given a consensus group of 3 replicas that repairs after 3 seconds
    And 5 numbers are committed in the consensus group
    Then the followers of the consensus group say Degraded and no loss
    When the leader of the consensus group is cut off in silence
    Then the cut-off leader of the consensus group says so within 2 seconds
