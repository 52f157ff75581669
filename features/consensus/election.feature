Feature: A consensus group elects one leader and commits through it

  Scenario: Five replicas found their group and commit
    Given a consensus group of 5 replicas
    When 20 numbers are committed in the consensus group
    Then every replica of the consensus group applies all of them

  Scenario: A crashed leader is replaced and nothing acknowledged is lost
    Given a consensus group of 5 replicas
    And 10 numbers are committed in the consensus group
    When the leader of the consensus group crashes
    And 10 numbers are committed in the consensus group
    And the crashed replica of the consensus group starts again
    Then every replica of the consensus group applies all of them
