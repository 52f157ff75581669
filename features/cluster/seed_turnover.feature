Feature: Seeds are exchanged for other machines, and nobody needs the first ones any more

  Scenario Outline: All seeds are exchanged, one after the other, at <gateways> gateways
    Given a relayed fleet of <gateways> gateways
    And an operator sent table 7 to controller 1
    And runner 1 said at controller 1 that it is ready
    When the seeds are exchanged one after the other for controllers 4, 5 and 6
    Then the root group has 3 voters and controllers 4, 5 and 6 are these
    And every gateway has table 7 and takes runner 1 as ready
    And no gateway still counts on a former seed
    When a gateway starts that knows only the new seeds
    Then every gateway has table 7 and takes runner 1 as ready
    When an operator sends table 8 to controller 5
    Then every gateway has table 8 within 1 second

    Examples:
      | gateways |
      | 3        |
      | 190      |

  Scenario: A node whose settings name unknown seeds alone logs, goes on, and is found once it is told others
    Given a relayed fleet of 2 gateways
    And an operator sent table 7 to controller 1
    When a gateway starts that knows only seeds that nobody has
    And 10 seconds of the fleet pass
    Then that gateway has no table and still asks its seeds
    When its settings name the fleet's seeds
    Then every gateway has table 7 within 2 second
