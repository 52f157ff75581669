Feature: Runners that warm up get no more than their rate, over all gateways and items together

  Scenario: A zone comes back cold under load, and its limited capacity is used
    Given 58 gateways and 10 runners, with a placement leader
    When clients send 100 requests a second for 12 seconds, and zone-1 is drained from 2 to 5 seconds
    Then no cold runner got more than the bound in any second
    And zone-1 got at least 5 requests a second for each runner between 5.5 and 8 seconds

  Scenario: All runners of a service are cold at once
    Given 58 gateways and 10 runners, with a placement leader
    When clients send 120 requests a second for 8 seconds, and after 3 seconds all runners go cold
    Then no cold runner got more than the bound in any second
    And requests that could not be served were refused within 0.1 seconds, with a time to retry after

  Scenario: There is no placement leader while all runners are cold
    Given 58 gateways and 10 runners, with a placement leader
    When there is no placement leader, all runners are known to be cold, and clients send 60 requests a second for 2 seconds
    Then no runner got anything
    And requests that could not be served were refused within 0.1 seconds, with a time to retry after

  Scenario: A request that no runner may get does not wait for one
    Given 4 gateways and 2 runners, with a placement leader
    When clients send 200 requests a second for 4 seconds, and after 1 seconds all runners go cold
    Then no cold runner got more than the bound in any second

  Scenario: A hundred random runs keep to the bound
    When a hundred random runs mix cold runners, drains, lost placement leaders, partitions and restarts
    Then in none of them any cold runner got more than the bound in any second
