Feature: An item is given up for its route's end only once that end is certain

  # Guards against: items of accepted jobs given up by a leader whose routing table is older than
  # the one by which the job was accepted.

  Scenario Outline: A job that is accepted by a table which the ledger's leader lacks, while <event>
    Given a relayed fleet whose table has <before>
    When the ledger's leader hears of no table from the leading controller
    And an operator sends a table with the route, and a gateway has it
    And a gateway hands in a job of 2 items while <event>
    Then all items of the job run and none is given up

    Examples:
      | before                                | event                                                             |
      | no route                              | the controller that acknowledged freezes for 2.6 seconds          |
      | no route                              | the controller that acknowledged freezes for 6 seconds            |
      | a route that the next one removed     | the controller that acknowledged freezes for 2.6 seconds          |
      | no route                              | it freezes and the other controllers start again                  |
      | a route that the next one removed     | it freezes and the other controllers start again                  |
      | no route                              | it freezes and the ledger's leader is killed after the acceptance |
      | no route                              | it freezes and all storage nodes start again after the acceptance |

  Scenario: The items of a job whose route has ended are given up
    Given a relayed fleet whose table has the route
    And no runner of the route's service
    When a gateway submits a job of 2 items
    And an operator sends a table without the route
    Then all items of the job are given up within 3 seconds

  Scenario: While no table can be confirmed, new jobs wait and earlier ones go on
    Given a relayed fleet whose table has the route
    When a gateway hands in an earlier job of 12 items, more than the runners take
    And the controllers are cut off from each other
    And a gateway submits a job of 2 items
    And 3 seconds later the runs of the earlier job end
    Then only the items of the earlier job run, and none is given up
    And operators see that 1 job waits for its table
    When the controllers reach each other again
    Then all items of the job run and none is given up
    And operators see that 0 jobs wait for their table
