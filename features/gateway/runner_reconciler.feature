Feature: The owner of a runner sends the required orders and reports the observed status

  Scenario: A wanted version is ordered once, loaded and reported
    Given a gateway fleet of 2 runners and 2 gateways without weights
    When version "v1" is placed on "runner-0" under fence 1
    And 8 seconds of gateway time pass
    Then the status of "runner-0" reports version "v1" ready under fence 1
    And orders to load were sent 1 time by all gateways together
    When 1 gateway caller asks at once
    And 3 seconds of gateway time pass
    Then every gateway caller has its own complete answer

  Scenario: An engine that restarted without a version is ordered to load it again
    Given a gateway fleet of 2 runners and 1 gateway without weights
    When version "v1" is placed on "runner-0" under fence 1
    And 8 seconds of gateway time pass
    And "runner-0" of the gateway fleet restarts
    And 2.4 seconds of gateway time pass
    Then the status of "runner-0" reports it not ready
    When 10 seconds of gateway time pass
    Then the status of "runner-0" reports version "v1" ready under fence 1

  Scenario: A crashed engine is reported as unreachable
    Given a gateway fleet of 2 runners and 1 gateway
    When "runner-0" of the gateway fleet crashes
    And 4 seconds of gateway time pass
    Then the status of "runner-0" reports it unreachable

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

  Scenario: A concurrent write of the status is read again and not overwritten
    Given a gateway fleet of 1 runner and 1 gateway without weights
    When version "v1" is placed on "runner-0" under fence 1
    And the placement raises the fence of "runner-0" repeatedly for 6 seconds
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

  Scenario: A status that could not be written while control was unreachable is written later
    Given a gateway fleet of 2 runners and 1 gateway
    And control is unreachable from the gateways
    When "runner-0" of the gateway fleet crashes
    And 4 seconds of gateway time pass
    And control is reachable again
    And 5 seconds of gateway time pass
    Then the status of "runner-0" reports it unreachable
