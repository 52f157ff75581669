Feature: A planned stop of a gateway aborts nothing and refuses new work at once

  Scenario: Requests in progress finish, new ones are refused as not run
    Given a gateway fleet of 3 runners and 2 gateways
    When 20 gateway callers ask at once
    And 0.3 seconds of gateway time pass
    And gateway 0 of the fleet begins a planned stop
    And 1 gateway caller asks at once
    Then gateway caller 20 got the outcome "not_run" at once with a retry-after time
    When 5 seconds of gateway time pass
    Then the first 20 gateway callers have their complete answers
    And the planned stop is over and aborted nothing

  Scenario: Queued requests are finished too
    Given a gateway fleet of 1 runner and 1 gateway
    When 40 gateway callers ask at once
    And gateway 0 of the fleet begins a planned stop
    And 10 seconds of gateway time pass
    Then the first 40 gateway callers have their complete answers
    And the planned stop is over and aborted nothing

  Scenario: A request that outlasts the grace time is reported and ends as unknown
    Given a gateway fleet of 1 runner and 1 gateway with a grace time of 2 seconds
    When a gateway caller asks for 2000 tokens
    And 0.5 seconds of gateway time pass
    And gateway 0 of the fleet begins a planned stop
    And 3 seconds of gateway time pass
    Then gateway caller 0 got the outcome "unknown"
    And the planned stop is over and aborted the request of gateway caller 0

  Scenario: A session continues at another gateway after the planned stop
    Given a gateway fleet of 3 runners and 2 gateways
    And a gateway session "container-7"
    When 1 turn of "container-7" is run through gateway 0
    And gateway 0 of the fleet begins a planned stop
    And 1 seconds of gateway time pass
    And 1 turn of "container-7" is run through gateway 1
    Then every turn of "container-7" has the answer that its transcript gives
    And the planned stop is over and aborted nothing

  Scenario: A gateway that is drained by its resource refuses new work
    Given a gateway fleet of 3 runners and 2 gateways
    When gateway 0 of the gateway fleet is drained by its resource
    And 1 gateway caller asks at once
    Then gateway caller 0 got the outcome "not_run" at once with a retry-after time

  Scenario Outline: A planned stop under load aborts nothing at any moment
    Given a gateway fleet of 3 runners and 1 gateway
    When 60 gateway callers ask, 20 ms apart
    And <moment> seconds of gateway time pass
    And gateway 0 of the fleet begins a planned stop
    And 10 seconds of gateway time pass
    Then the first 60 gateway callers have their complete answers
    And the planned stop is over and aborted nothing

    Examples:
      | moment |
      | 0.001  |
      | 0.05   |
      | 0.4    |

  Scenario: Each request that outlasts the grace time is reported, also if two tenants use the same id
    Given a gateway fleet of 2 runners and 1 gateway with a grace time of 2 seconds
    And the log of the gateway is recorded
    When gateway tenants "hotel" and "shipper" both ask for 2000 tokens as "night-report"
    And 5 gateway callers ask at once
    And 0.5 seconds of gateway time pass
    And gateway 0 of the fleet begins a planned stop
    And 3 seconds of gateway time pass
    Then the planned stop is over and aborted "night-report" of "hotel" and of "shipper" alone
    And the log of the gateway has a warning for each aborted request

  Scenario Outline: A draining runner finishes its requests, whatever reports that it leaves
    Given a gateway fleet of 3 runners and 1 gateway
    When 24 gateway callers ask at once
    And 0.3 seconds of gateway time pass
    And "runner-0" of the gateway fleet leaves by <account>
    And 10 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And each request of the gateway fleet was run 1 time

    Examples:
      | account          |
      | its resource     |
      | its engine       |
      | the machine list |
