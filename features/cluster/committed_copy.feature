Feature: Controllers serve committed state right after a restart, before their group has a leader

  Scenario: A gateway that starts gets the table from one controller of three
    Given a relayed fleet of 2 zones with runners
    And an operator sent table 7 to controller 1
    When an operator drains zone-1 at controller 2
    And 1 seconds of the fleet pass
    And every node loses power, and controller 1 and the gateways start again
    Then every gateway has table 7 within 1 second
    And no gateway sends to zone-1 within 1 seconds

  Scenario: A controller never serves state that is not committed
    Given a relayed fleet of 2 zones with runners
    And an operator sent table 7 to controller 1
    When 1 seconds of the fleet pass
    And controller 1 is cut off and then gets table 8, which nobody else has
    And every node loses power, and controller 1 and the gateways start again
    Then every gateway has table 7 within 1 second
    And 1 seconds of the fleet pass
    And every gateway still has table 7

  Scenario: A newer table replaces the copy, and a gateway never reverts
    Given a relayed fleet of 2 zones with runners
    And an operator sent table 7 to controller 1
    When 1 seconds of the fleet pass
    And every node loses power and starts again
    And an operator sends table 8 to some controller until it is taken
    Then every gateway has table 8 within 1 second
    When every node loses power, and controller 1 and the gateways start again
    Then every gateway has table 8 within 1 second

  Scenario: A damaged copy is ignored and logged
    Given a controller's committed copy whose bytes are damaged
    When the committed copy is read
    Then it holds nothing, and the log has "committed_copy_unreadable"
