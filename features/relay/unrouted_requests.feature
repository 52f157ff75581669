Feature: A request is answered "not found" only by a routing table that a quorum has confirmed

  # Guards against: 404 for a route that is in force, from a gateway whose table is older.

  Scenario: A request without a route is answered 404 within a fraction of a second
    Given a relaying fleet whose gateways have a table
    When a client asks gateway 1 for the added route
    Then it has 404 within 0.3 seconds

  Scenario: Further requests without a route are answered at once for a while
    Given a relaying fleet whose gateways have a table
    When a client asks gateway 1 for the added route
    Then it has 404 within 0.3 seconds
    When 20 clients ask gateway 1 for the added route within half a second
    Then they all have 404 at once

  Scenario Outline: A gateway that has not heard of the table with the route, while <event>
    Given a relaying fleet whose gateways have a table
    When gateway 1 hears nothing from the leading controller
    And an operator adds the route
    And <event>
    And a client asks gateway 1 for the added route every 0.1 seconds for 4 seconds
    Then no client has 404, and the last ones have the runner's answer

    Examples:
      | event                                                                        |
      | the controller that acknowledged freezes                                     |
      | the controller that acknowledged freezes and the others start again          |
      | the controller that acknowledged freezes and gateway 1 starts again          |

  Scenario: While no controller answers, a request without a route is refused for now
    Given a relaying fleet whose gateways have a table
    When all controllers lose their power
    And a client asks gateway 1 for the added route
    Then it has 503 with a time to come back within 0.9 seconds
    When 4 seconds pass and a client asks gateway 1 for the added route
    Then it has 503 with a time to come back at once
