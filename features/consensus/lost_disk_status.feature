Feature: The status shows a lost disk as soon as its replica has sent Hello

  Scenario: A replica that restarts at once without its disk doesn't count as healthy
    Given a consensus group of 5 replicas
    And 5 numbers are committed in the consensus group
    When a follower of the consensus group loses its disk and restarts before it counts as unreachable
    Then the consensus group's leader reports Degraded and 1 tolerated loss before it counts as unreachable
