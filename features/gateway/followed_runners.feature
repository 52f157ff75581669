Feature: A gateway of a large fleet follows its own zone's runners and a sample of the others

  Scenario: A small fleet is followed whole
    Given a lone gateway of a fleet of 3 zones, 6 nodes and 12 runners
    Then the lone gateway follows 12 runners

  Scenario: A large fleet is followed in part
    Given a lone gateway of a fleet of 3 zones, 6 nodes and 450 runners
    Then the lone gateway follows every runner of its zone
    And the lone gateway follows between 30 and 100 runners of other zones

  Scenario: What following costs does not grow with the other zones
    Given a lone gateway of a fleet of 3 zones, 6 nodes and 450 runners
    And another lone gateway of a fleet of 12 zones, 24 nodes and 1800 runners
    Then the other lone gateway gets at most 15 percent more load reports

  Scenario: Gateways follow different samples, the same ones after a restart
    Given a lone gateway of a fleet of 3 zones, 6 nodes and 450 runners
    Then its sample is the same after a restart and another one for node 3

  Scenario: A gateway takes on the runners of a zone that has lost its gateways
    Given a lone gateway of a fleet of 3 zones, 3 nodes and 240 runners
    When the other nodes of the lone gateway's fleet are deleted
    And 1 second of the lone gateway's time passes
    Then the lone gateway follows 240 runners and owns all of them

  Scenario: A runner that a session lives on is followed, and the oldest such is given up
    Given a lone gateway of a fleet of 3 zones, 6 nodes and 450 runners
    When the lone gateway is asked to follow 70 more runners of other zones
    And 1 second of the lone gateway's time passes
    Then 64 of the 70 runners asked for are followed, the last among them
    And the lone gateway knows the load of each

  Scenario: A runner that moves to the gateway's zone is followed from then on
    Given a lone gateway of a fleet of 3 zones, 6 nodes and 450 runners
    When a runner that the lone gateway does not follow moves to its zone
    Then the lone gateway follows that runner
    When the runner of the lone gateway's fleet moves back
    Then the lone gateway does not follow that runner
