Feature: A gateway of a large fleet follows its own zone's runners and a sample of the others

  Scenario: All runners of a small fleet are followed
    Given a single gateway of a fleet of 3 zones, 6 nodes and 12 runners
    Then the single gateway follows 12 runners

  Scenario: Only some runners of a large fleet are followed
    Given a single gateway of a fleet of 3 zones, 6 nodes and 450 runners
    Then the single gateway follows every runner of its zone
    And the single gateway follows between 30 and 100 runners of other zones

  Scenario: The number of load reports does not grow with the number of other zones
    Given a single gateway of a fleet of 3 zones, 6 nodes and 450 runners
    And another single gateway of a fleet of 12 zones, 24 nodes and 1800 runners
    Then the other single gateway gets at most 15 percent more load reports

  Scenario: Gateways follow different samples, the same ones after a restart
    Given a single gateway of a fleet of 3 zones, 6 nodes and 450 runners
    Then its sample is the same after a restart and another one for node 3

  Scenario: A gateway takes over the runners of zones that have lost their gateways
    Given a single gateway of a fleet of 3 zones, 3 nodes and 240 runners
    When the other nodes of the single gateway's fleet are deleted
    And 1 second of the single gateway's time passes
    Then the single gateway follows 240 runners and owns all of them

  Scenario: A runner is followed on demand for a session; at the limit the oldest is dropped
    Given a single gateway of a fleet of 3 zones, 6 nodes and 450 runners
    When the single gateway is asked to follow 70 more runners of other zones
    And 1 second of the single gateway's time passes
    Then 64 of the 70 runners asked for are followed, the last among them
    And the single gateway knows the load of each

  Scenario: A runner that moves to the gateway's zone is followed from then on
    Given a single gateway of a fleet of 3 zones, 6 nodes and 450 runners
    When a runner that the single gateway does not follow moves to its zone
    Then the single gateway follows that runner
    When the runner of the single gateway's fleet moves back
    Then the single gateway does not follow that runner
