Feature: A lost disk shows in the status as soon as its replica has called

  Scenario: A replica that comes back without its disk at once is not counted as sound
    Given a consensus group of 5 replicas
    And 5 numbers are committed in the consensus group
    When a follower of the consensus group loses its disk and is back before it is missed
    Then the consensus group's leader says Degraded and bears 1 loss before it is missed
