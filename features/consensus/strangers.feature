Feature: A replica accepts consensus messages only from replicas of its group

  Scenario: A gateway cannot make a replica campaign
    Given a consensus group of 5 replicas
    And 3 numbers are committed in the consensus group
    When a process "gateway-a1" asks every replica of the consensus group to campaign
    Then the consensus group keeps its leader and its term
    When a replica of the consensus group gets a campaign request from another replica
    Then the consensus group has another term
