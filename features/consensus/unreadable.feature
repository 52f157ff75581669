Feature: An entry that can't be read stops the replica
  A replica that skipped it would answer from a state that differs from the others'.

  Scenario: A follower that can't read an entry stops with a fault, and the others go on
    Given a consensus group of 3 replicas
    When a follower of the consensus group can't read the next entry
    And 3 numbers are committed in the consensus group
    Then that follower has stopped with a storage fault that names the entry
