Feature: The owner of a runner orders what is wanted and reports what is there

  Scenario: A wanted version is ordered once, loaded and reported
    Given a gateway fleet of 2 runners and 2 gateways without weights
    When version "v1" is placed on "runner-0" under fence 1
    And 8 seconds of gateway time pass
    Then the status of "runner-0" reports version "v1" ready under fence 1
    And orders to load were sent 1 time by all gateways together
    When 1 gateway caller asks at once
    And 3 seconds of gateway time pass
    Then every gateway caller has its own whole answer

  Scenario: An engine that restarted empty is ordered to load again
    Given a gateway fleet of 2 runners and 1 gateway without weights
    When version "v1" is placed on "runner-0" under fence 1
    And 8 seconds of gateway time pass
    And "runner-0" of the gateway fleet restarts
    And 2.4 seconds of gateway time pass
    Then the status of "runner-0" reports it not ready
    When 10 seconds of gateway time pass
    Then the status of "runner-0" reports version "v1" ready under fence 1

  Scenario: A dead engine is reported as out of reach
    Given a gateway fleet of 2 runners and 1 gateway
    When "runner-0" of the gateway fleet crashes
    And 4 seconds of gateway time pass
    Then the status of "runner-0" reports it out of reach

  Scenario: An order with an old fence changes nothing
    Given a gateway fleet of 1 runner and 1 gateway without weights
    And the engine of "runner-0" has seen fence 7
    When version "v1" is placed on "runner-0" under fence 3
    And 8 seconds of gateway time pass
    Then the engine of "runner-0" has no version

  Scenario: A lost order is sent again
    Given a gateway fleet of 1 runner and 1 gateway without weights
    And the first order on the gateway's links is lost
    When version "v1" is placed on "runner-0" under fence 1
    And 14 seconds of gateway time pass
    Then the status of "runner-0" reports version "v1" ready under fence 1

  Scenario: A status written at the same time by another is read again and kept
    Given a gateway fleet of 1 runner and 1 gateway without weights
    When version "v1" is placed on "runner-0" under fence 1
    And the placement raises the fence of "runner-0" at every moment for 6 seconds
    And 5 seconds of gateway time pass
    Then the status of "runner-0" reports version "v1" ready under the fence last raised

  Scenario: A role is ordered, and again after a restart
    Given a gateway fleet of 1 runner and 1 gateway
    When the role of "runner-0" becomes "batch_only"
    And 3 seconds of gateway time pass
    Then the engine of "runner-0" has the role "batch_only"
    When "runner-0" of the gateway fleet restarts
    And 4 seconds of gateway time pass
    Then the engine of "runner-0" has the role "batch_only"

  Scenario: A lost order of a role is sent again
    Given a gateway fleet of 1 runner and 1 gateway
    And the first order on the gateway's links is lost
    When the role of "runner-0" becomes "batch_only"
    And 6 seconds of gateway time pass
    Then the engine of "runner-0" has the role "batch_only"

  Scenario: A status that could not be written while control was away is written later
    Given a gateway fleet of 2 runners and 1 gateway
    And control is away from the gateways
    When "runner-0" of the gateway fleet crashes
    And 4 seconds of gateway time pass
    And control is back
    And 5 seconds of gateway time pass
    Then the status of "runner-0" reports it out of reach
