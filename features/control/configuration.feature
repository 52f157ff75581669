Feature: Configuration changes reach every gateway, are marked as in force, and never revert

  Scenario: A change reaches every gateway and is marked as in force
    Given a control fleet of 3 replicas with gateways g1, g2, g3
    When an operator of the control fleet puts a service
    Then every gateway of the control fleet has that change within 1 seconds
    And the control fleet marks that change as in force within 1 seconds

  Scenario: A change is in force only once a leased gateway that can't acknowledge has lost its lease
    Given a control fleet of 3 replicas with gateways g1, g2, g3
    When gateway g3 is cut off from the control fleet
    And an operator of the control fleet puts a service
    Then the control fleet does not mark that change while gateway g3 may serve
    And the control fleet marks that change as in force within 12 seconds
    And gateway g3 of the control fleet refuses new work

  Scenario: A gateway with a slow clock stops serving before the leader treats its lease as expired
    Given a control fleet of 3 replicas with gateways g1, g2
    And a control fleet gateway g3 whose clock runs at 0.992 of the leader's
    When gateway g3 is cut off from the control fleet
    And an operator of the control fleet puts a service
    Then the control fleet does not mark that change while gateway g3 may serve
    And the control fleet marks that change as in force within 12 seconds

  Scenario: A new leader waits one full lease period before it treats leases as expired
    Given a control fleet of 3 replicas with gateways g1, g2
    When gateway g2 is cut off from the control fleet
    And the control fleet elects r2
    And an operator of the control fleet puts a service
    Then the control fleet does not mark that change while gateway g2 may serve
    And the control fleet marks that change as in force within 12 seconds

  Scenario: A gateway that comes back late must catch up before it serves
    Given a control fleet of 3 replicas with gateways g1, g2
    When gateway g2 is cut off from the control fleet
    And an operator of the control fleet puts a service
    And the control fleet runs 15 seconds
    And gateway g2 is connected to the control fleet again
    Then gateway g2 of the control fleet serves again, and only with that change

  Scenario: A partitioned leader stops answering within its read lease
    Given a control fleet of 3 replicas with gateways g1, g2
    When the leader of the control fleet is cut off and r2 takes over after its lease
    And an operator of the control fleet puts a service
    Then every gateway of the control fleet has that change within 8 seconds
    And no gateway of the control fleet ever saw a revision fall

  Scenario: A gateway ignores a list and a poll reply of a lower revision
    Given a control fleet of 3 replicas with gateways g1
    When gateway g1 of the control fleet is handed a list and a poll reply of a lower revision
    Then gateway g1 of the control fleet keeps what it has
    And no gateway of the control fleet ever saw a revision fall

  Scenario: A gateway that missed compacted events lists again
    Given a control fleet of 3 replicas that keeps 5 events with gateways g1, g2
    When gateway g2 is cut off from the control fleet
    And 20 services are put in the control fleet
    And gateway g2 is connected to the control fleet again
    Then gateway g2 of the control fleet has all 20 services within 10 seconds
    And no gateway of the control fleet ever saw a revision fall

  Scenario: A restarted gateway is a new incarnation and keeps an operator's drain
    Given a control fleet of 3 replicas with gateways g1
    When an operator of the control fleet drains gateway g1
    And gateway g1 of the control fleet is restarted
    Then gateway g1 of the control fleet is registered under its new incarnation, still drained

  Scenario: A list read in pages misses no change made between the pages
    Given a control fleet of 3 replicas that lists 3 resources a page with gateways g1
    When 20 services are put in the control fleet
    And gateway g2 of the control fleet starts while services are changed, added and deleted
    Then gateway g2 of the control fleet has every service that was not deleted once it may serve
    And the views of the control fleet become equal to the leader's state
    And no gateway of the control fleet ever saw a revision fall

  Scenario: A gateway that stops as planned does not delay changes
    Given a control fleet of 3 replicas with gateways g1, g2
    When gateway g2 of the control fleet stops as planned
    And an operator of the control fleet puts a service
    Then gateway g2 of the control fleet refuses new work
    And the control fleet marks that change as in force within 1 seconds

  Scenario: A gateway whose resource was deleted registers again
    Given a control fleet of 3 replicas with gateways g1
    When the resource of gateway g1 is deleted in the control fleet
    Then gateway g1 is registered again in the control fleet within 2 seconds

  Scenario: The checks detect a view that accepts lower revisions
    Given a control fleet of 3 replicas with gateways g1
    And the control fleet has the defect "revision-may-fall"
    When gateway g1 of the control fleet is handed a list and a poll reply of a lower revision
    Then the control fleet's check "keeps what it has" fails for gateway g1

  Scenario: The checks detect a gateway that ignores its lease
    Given a control fleet of 3 replicas with gateways g1, g2
    And the control fleet has the defect "no-config-lease"
    When gateway g2 is cut off from the control fleet
    And an operator of the control fleet puts a service
    Then the control fleet's check "does not mark while it may serve" fails for gateway g2
