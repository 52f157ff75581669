Feature: Changes reach many gateways over links between regions

  Scenario: Every gateway applies each change, and each change is marked as in force
    Given 5 control replicas and 8 gateways of different regions, with 64 runners and 40 tenants
    When operators make 6 changes one after another
    Then each of these changes was applied at every gateway and in force within 1 virtual second
    And every gateway of the regions has exactly the leader's resources

  Scenario: An unreachable gateway delays a change until its lease has expired
    Given 5 control replicas and 6 gateways of different regions, with 24 runners and 20 tenants
    When one gateway of the regions is partitioned and a change is made
    Then that change is in force between 4 and 12 virtual seconds later

  Scenario: A change made when the leader is partitioned is in force in time
    Given 5 control replicas and 6 gateways of different regions, with 24 runners and 20 tenants
    When the leader of the regions is partitioned and a change is made
    Then that change is in force between 8 and 12 virtual seconds later

  Scenario: Gateways that restart while changes are made miss nothing
    Given 5 control replicas and 8 gateways of different regions, with 64 runners and 40 tenants
    When a gateway of the regions restarts with each of 7 changes, one every 1.6 seconds
    Then each restarted gateway of the regions may serve again
    And every gateway of the regions has exactly the leader's resources

  Scenario: The cost of a change per gateway does not depend on the number of gateways
    When 6 changes are made among 4, 8 and 16 gateways of different regions
    Then the messages of a change to one gateway differ by at most 5 percent
    And the bytes of a change to one gateway differ by at most 5 percent
