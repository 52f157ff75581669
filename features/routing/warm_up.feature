Feature: Runners that warm up get no more than their rate, over all gateways and items together

  Scenario: A zone returns cold under high load, and its warm-up rate is used
    Given 58 gateways and 10 runners, with a ledger leader
    When clients ask 100 times a second for 12 seconds, and zone-1 is drained from 2 to 5 seconds
    Then no cold runner got more than the bound in any second
    And zone-1 got at least 5 requests a second for each runner between 5.5 and 8 seconds

  Scenario: All runners of a service are cold at once
    Given 58 gateways and 10 runners, with a ledger leader
    When clients ask 120 times a second for 8 seconds, and after 3 seconds all runners go cold
    Then no cold runner got more than the bound in any second
    And requests that could not be served were refused within 0.1 seconds, with a retry time

  Scenario: No ledger leader answers while all runners are cold
    Given 58 gateways and 10 runners, with a ledger leader
    When there is no ledger leader, all runners are known to be cold, and clients ask 60 times a second for 2 seconds
    Then no runner got anything
    And requests that could not be served were refused within 0.1 seconds, with a retry time

  Scenario: A request that no runner may get is not queued
    Given 4 gateways and 2 runners, with a ledger leader
    When clients ask 200 times a second for 4 seconds, and after 1 seconds all runners go cold
    Then no cold runner got more than the bound in any second

  Scenario: A hundred random runs keep to the bound
    When a hundred random runs are made with cold runners, drains, lost leaders, partitions and restarts
    Then in none of them did a cold runner get more than the bound in any second
