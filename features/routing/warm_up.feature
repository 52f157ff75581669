Feature: Runners that warm up get no more than their rate, over all gateways and items together

  Scenario: A zone comes back cold under a press of requests, and what it bears is used
    Given 58 gateways and 10 runners, a keeper leading
    When clients ask 100 times a second for 12 seconds, and zone-1 is drained from 2 to 5 seconds
    Then no cold runner got more than the bound in any second
    And zone-1 got at least 5 requests a second for each runner between 5.5 and 8 seconds

  Scenario: All runners of a service are cold at once
    Given 58 gateways and 10 runners, a keeper leading
    When clients ask 120 times a second for 8 seconds, and after 3 seconds all runners go cold
    Then no cold runner got more than the bound in any second
    And requests that could not be served were refused within 0.1 seconds, with a time to come back

  Scenario: No keeper answers while all runners are cold
    Given 58 gateways and 10 runners, a keeper leading
    When no keeper leads, all runners are known to be cold, and clients ask 60 times a second for 2 seconds
    Then no runner got anything
    And requests that could not be served were refused within 0.1 seconds, with a time to come back

  Scenario: A request that no runner may get does not wait for one
    Given 4 gateways and 2 runners, a keeper leading
    When clients ask 200 times a second for 4 seconds, and after 1 seconds all runners go cold
    Then no cold runner got more than the bound in any second

  Scenario: A hundred drawn courses keep to the bound
    When a hundred courses are drawn of runners that go cold, drains, lost keepers, cuts and restarts
    Then in none of them a cold runner got more than the bound in any second
