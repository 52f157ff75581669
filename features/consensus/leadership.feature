Feature: Leaders, their leases, and leadership transfers

  Scenario: A leader cut off by dropped packets for minutes stops answering within its lease
    Given a consensus group of 5 replicas
    And 5 numbers are committed in the consensus group
    When the leader of the consensus group is cut off by dropped packets
    Then the cut-off leader of the consensus group leads under its lease for at most 0.9 seconds
    And the other replicas of the consensus group elect a leader, and no two leases overlap
    When the consensus group runs 180 seconds
    Then proposals and reads at the cut-off replica of the consensus group end with typed faults
    When the cut-off replica of the consensus group is connected again
    Then the consensus group's leader and term are as before the connection
    And every replica of the consensus group applies all of them

  Scenario: A proposal at a cut-off leader has an unknown outcome and is overwritten
    Given a consensus group of 5 replicas
    When the leader of the consensus group is cut off by dropped packets
    And a number is proposed at the cut-off leader of the consensus group
    And 5 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    Then the proposal at the cut-off leader of the consensus group ended with an unknown outcome
    And every replica of the consensus group applies all of them

  Scenario: A follower cut off for minutes deposes no leader when it returns
    Given a consensus group of 5 replicas
    When a follower of the consensus group is cut off by dropped packets
    And the consensus group runs 180 seconds
    And 5 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    Then the consensus group's leader and term are as before the cut
    And every replica of the consensus group applies all of them

  Scenario: A follower that can send but not receive deposes no leader
    Given a consensus group of 5 replicas
    When a follower of the consensus group can send but not receive
    And the consensus group runs 60 seconds
    Then the consensus group's leader and term are as before the cut

  Scenario: A leader that reaches no quorum steps down by itself
    Given a consensus group of 5 replicas
    When the leader of the consensus group can reach only one other replica
    Then that leader of the consensus group steps down within 2 seconds
    And the other replicas of the consensus group elect one leader

  Scenario Outline: Leases hold while clocks run at unequal rates
    Then with the consensus group's leader's clock at <leader> and the others' at <others> no two leases overlap in 20 fail-overs

    Examples:
      | leader | others |
      | 0.95   | 1.05   |
      | 1.05   | 0.95   |
      | 1.0    | 1.0    |

  Scenario: The lease check detects clocks that differ by more than the margin
    Then with the consensus group's leader's clock at 0.5 and the others' at 1.5 two leases overlap

  Scenario: A planned leadership transfer takes less than an election timeout
    Given a consensus group of 5 replicas
    And 5 numbers are committed in the consensus group
    When the consensus group's leader transfers leadership while numbers are committed
    Then the consensus group had a new leader within 0.2 seconds
    And every replica of the consensus group applies all of them

  Scenario: Leadership is transferred to a replica that holds the whole log
    Given a consensus group of 5 replicas
    When a follower of the consensus group is cut off by dropped packets
    And 50 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    And the consensus group's leader transfers leadership while numbers are committed
    Then the consensus group had a new leader within 0.2 seconds
    And every replica of the consensus group applies all of them

  Scenario: A transfer to a replica that crashes ends, and the group goes on
    Given a consensus group of 3 replicas
    When the consensus group's leader transfers leadership to a replica that loses power at that moment
    Then the consensus group's leadership transfer has ended and the group commits again

  Scenario: A voter that learns of a later term withholds its vote for the leader it follows
    Given a consensus member that follows a leader of term 5
    When a late reply moves the consensus member to term 6
    And a candidate asks the consensus member for its vote in term 6 after 0.1 seconds
    Then the consensus member refuses its vote
    When a candidate asks the consensus member for its vote in term 6 after 0.9 seconds
    Then the consensus member grants its vote once that is synced

  Scenario: A vote is sent only after it is synced, and survives a restart
    Given a consensus member that follows a leader of term 5
    When a candidate asks the consensus member for its vote in term 6 after 2.0 seconds
    Then the consensus member grants its vote once that is synced
    When the consensus member restarts with what it has stored
    And another candidate asks the consensus member for its vote in term 6 after 2.0 seconds
    Then the consensus member refuses its vote

  Scenario: A restarted voter withholds its vote for an election timeout since its process began
    Given a consensus member that follows a leader of term 5
    When the consensus member restarts in a process that began 0.5 seconds before
    And a candidate asks the consensus member for its vote in term 6 after 0.3 seconds
    Then the consensus member refuses its vote
    When a candidate asks the consensus member for its vote in term 6 after 0.2 seconds
    Then the consensus member grants its vote once that is synced

  Scenario: Requests pending at a member that stops fail at once
    Given a consensus group of 3 replicas
    When the leader of the consensus group is cut off by dropped packets
    And the cut-off leader's lease is over and a read and a number wait at it in the consensus group
    And that member of the consensus group is stopped
    Then the read and the number at the stopped member of the consensus group have ended with faults
