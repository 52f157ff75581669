Feature: A replica takes messages of its group from replicas only

  Scenario: A gateway cannot make a replica campaign
    Given a consensus group of 5 replicas
    And 3 numbers are committed in the consensus group
    When a process "gateway-a1" tells every replica of the consensus group to campaign
    Then the consensus group keeps its leader and its term
    When a replica of the consensus group is told to campaign by another
    Then the consensus group has another term
