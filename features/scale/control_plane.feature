Feature: Control at a growing size, on hollow nodes beside real replicas

  Scenario: Every hollow node gets each change, and each change gets in force
    Given a scale run of 8 nodes, 64 runners and 40 tenants
    When the scale run makes 6 changes
    Then each change of the scale run is applied at every node and in force within 1 virtual second
    And no node of the scale run missed a change

  Scenario: A node that cannot be reached holds a change back until its lease has run out
    Given a scale run of 6 nodes, 24 runners and 20 tenants
    When a node of the scale run is lost in silence and a change is made
    Then the change of the scale run is in force between 4 and 12 virtual seconds later

  Scenario: A change made as the leader is cut off in silence gets in force in time
    Given a scale run of 6 nodes, 24 runners and 20 tenants
    When the scale run's leader is cut off in silence and a change is made
    Then the change of the scale run is in force between 8 and 12 virtual seconds later

  Scenario: Restarts faster than life lose nothing
    Given a scale run of 8 nodes, 64 runners and 40 tenants
    When nodes of the scale run restart 800 times as often as in life while changes are made
    Then the scale run restarted at least 6 nodes
    And no node of the scale run missed a change
    And every node of the scale run serves

  Scenario: Messages and bytes of a change grow in proportion to the nodes
    Given scale runs of 4, 8 and 16 nodes with 48 runners and 24 tenants
    Then the leader's messages per change lie on a line within 5 percent
    And the leader's bytes per change lie on a line within 5 percent
    And a node's bytes per change differ by at most 10 percent between the scale runs

  Scenario: The same seed gives the same messages, bytes and delays
    Given a scale run of 6 nodes, 24 runners and 20 tenants
    When the scale run makes 6 changes
    And the scale run is made again with the same seed
    Then both scale runs give the same exact figures

  Scenario: A slope is stated with how far its points lie from it
    Then the line through 1 at 10, 2 at 20 and 6 at 30 has slope 0.25 and a residual of 0.167
    And a line through one size is refused
