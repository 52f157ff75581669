Feature: Nodes that list the same resources share encoded pages

  Scenario: Nodes that start at once cost one encoding per page
    Given the shared pages of a fleet of 40 nodes, 300 runners and 160 tenants
    When 20 nodes read the shared pages of 100 resources
    Then the shared pages were encoded 6 times
    And each node read exactly the resources of the state

  Scenario: After a change only its page is encoded again
    Given the shared pages of a fleet of 40 nodes, 300 runners and 160 tenants
    When 1 nodes read the shared pages of 100 resources
    And the state behind the shared pages takes a change of a tenant
    And 3 nodes read the shared pages of 100 resources
    Then the shared pages were encoded 7 times
    And each node read exactly the resources of the state

  Scenario: An added and a deleted resource show in the next node's list
    Given the shared pages of a fleet of 40 nodes, 300 runners and 160 tenants
    When 1 nodes read the shared pages of 100 resources
    And the state behind the shared pages takes a new tenant and loses a runner
    And 2 nodes read the shared pages of 100 resources
    Then each node read exactly the resources of the state

  Scenario: The least recently read pages are evicted
    Given the shared pages of a fleet of 40 nodes, 300 runners and 160 tenants
    When nodes read the shared pages in pages of 1 to 40 resources
    Then at most 128 encoded pages are kept
