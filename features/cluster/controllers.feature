Feature: Controllers keep the routing table and the runners' reports through failures

  Scenario: The fleet bootstraps from its seeds alone
    Given a relayed fleet
    Then the controllers have one leader
    And the ledger has one leader and 3 voters
    And every gateway knows 3 controllers and 3 storage nodes

  Scenario: A table reaches every gateway, and a lower version changes nothing
    Given a relayed fleet
    When an operator sends table 7 to controller 2
    Then the operator's order is taken
    And every gateway has table 7 within 1 second
    When an operator sends table 5 to controller 3
    Then the operator's order is taken
    And a read at controller 1 gives table 7

  Scenario: Two operators race: the higher version wins everywhere
    Given a relayed fleet
    When operators send table 8 to controller 1 and table 9 to controller 2 at once
    Then every gateway has table 9 within 1 second
    And a read at controller 3 gives table 9

  Scenario: A partitioned controller serves no orders, no reads and no reports of draining
    Given a relayed fleet
    And an operator sent table 7 to controller 1
    When the leading controller is cut off from all others
    Then an order of table 8 at it is not taken
    And a read at it is refused
    And a runner that drains there gets no acknowledgement
    When the other controllers take table 9
    And the cut-off controller is back
    Then a read at it gives table 9

  Scenario: A runner's report of draining takes effect at once, whichever controller received it
    Given a relayed fleet
    And runner 1 said at controller 1 that it is ready
    When runner 1 says at controller 3 that it is draining
    Then the runner's report is acknowledged
    And no gateway takes runner 1 as ready within 0.1 seconds

  Scenario: A report of draining survives the controller that received it
    Given a relayed fleet
    And runner 1 said at controller 1 that it is ready
    When every gateway is cut off from controller 3
    And runner 1 says at controller 3 that it is draining
    Then the runner's report is acknowledged
    And no gateway takes runner 1 as ready within 1.5 seconds

  Scenario Outline: An acknowledged table survives <loss>
    Given a relayed fleet
    When an operator sends table 7 to controller 2
    Then the operator's order is taken
    When <loss>
    Then a read at controller 3 gives table 7

    Examples:
      | loss                                                          |
      | all controllers lose power and start again                    |
      | the leading controller loses its disk and starts again        |
      | the leading controller loses its disk and the others power    |

  Scenario: A controller at another address replaces a lost one
    Given a relayed fleet
    And an operator sent table 7 to controller 1
    When controller 2 is gone for good
    And controller 9 starts with an empty disk
    Then the root group has 3 voters and controller 9 is one of them
    When controller 1 loses its disk and starts again
    Then a read at controller 3 gives table 7

  Scenario: A gateway keeps its table and its runners while no controller answers
    Given a relayed fleet
    And an operator sent table 7 to controller 1
    And runner 1 said at controller 1 that it is ready
    When all controllers lose power
    And 10 seconds of the fleet pass
    Then every gateway has table 7 and takes runner 1 as ready

  Scenario: A controller with an empty disk contacts its seeds from the start
    Given a relayed fleet
    When controller 2 loses its disk and starts again
    And 0.4 seconds of the fleet pass
    Then controller 2 knows the controllers 1 and 3 as its group's contacts

  Scenario: An order that reaches a leader before its disk is open is not rejected as invalid
    Given a relayed fleet
    When the leading controller's process starts again and has not opened its disk
    And an operator sends table 7 to another controller
    Then the order is taken or may be sent again
    When the other controllers take table 7
    Then every other controller reads table 7

  Scenario: A storage node that learns of a table while it opens its disk uses that table
    Given a relayed fleet
    And an operator sent table 7 to controller 1
    When storage node 2 loses power, starts again and hears of table 7 before its disk is open
    Then storage node 2 runs items by table 7 within 3 seconds

  Scenario: A late notice of a former leader of the ledger does not replace the newer leader
    Given a relayed fleet
    When a gateway hears that storage node 2 leads the ledger in term 99
    And it hears late that storage node 1 led it in term 98
    Then the gateway goes on with storage node 2 as the ledger's leader
