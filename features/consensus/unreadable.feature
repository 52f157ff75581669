Feature: An entry that can't be read ends its replica
  A replica that left it out would answer from a state that no other replica has.

  Scenario: A follower that meets one stops with a fault, and the others go on
    Given a consensus group of 3 replicas
    When a follower of the consensus group can't read what comes next
    And 3 numbers are committed in the consensus group
    Then that follower has stopped with a storage fault that names the entry
