Feature: All seeds can be replaced by other machines

  Scenario Outline: All seeds are replaced, one after the other, with <gateways> gateways
    Given a relayed fleet of <gateways> gateways
    And an operator sent table 7 to controller 1
    And runner 1 said at controller 1 that it is ready
    When the seeds are replaced one after the other by controllers 4, 5 and 6
    Then the root group has 3 voters and controllers 4, 5 and 6 are the voters
    And every gateway has table 7 and takes runner 1 as ready
    And no gateway still knows a former seed
    When a gateway starts that knows only the new seeds
    Then every gateway has table 7 and takes runner 1 as ready
    When an operator sends table 8 to controller 5
    Then every gateway has table 8 within 1 second

    Examples:
      | gateways |
      | 3        |
      | 190      |

  Scenario: A node with only unknown seeds keeps running, and joins once its settings have valid seeds
    Given a relayed fleet of 2 gateways
    And an operator sent table 7 to controller 1
    When a gateway starts that knows only seeds at unused addresses
    And 10 seconds of the fleet pass
    Then that gateway has no table and still tries its seeds
    When its settings are changed to the fleet's seeds
    Then every gateway has table 7 within 2 second
