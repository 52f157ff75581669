Feature: A large fleet starts all at once, and the traffic of each node stays bounded

  Scenario: 300 nodes and 3,000 runners start at the same moment
    Given a fleet of 69 controllers, 69 storage nodes and 162 gateways that all start at once
    When 3000 runners say at any controller, over 1.2 seconds, that they are ready
    And an operator sends table 7 to controller 9
    Then every gateway has table 7 and knows 3000 runners within 5 seconds
    And no node has sent more than 4000 messages a second
    When 10 seconds pass at rest
    Then each gateway has sent at most 6 messages a second and holds links to at most 9 nodes
    And no controller has sent or received more than 700 messages a second
    When a runner says at a controller that nodes do not follow that it is draining
    Then no gateway takes it as ready half a second after its acknowledgement
