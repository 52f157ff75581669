Feature: Placement scans the runners only after a relevant change

  Background:
    Given 5 real control replicas with 4 gateway views
    And 24 runners, 2 services and 20 tenants are declared to the real control replicas

  Scenario: Changes of tenants, sessions and gateways do not trigger a scan
    When the real control replicas take 40 changes of tenants, sessions and gateways in 8 seconds
    Then the placement scanned the runners at most 12 times

  Scenario: Changes of services, versions, adapters and runners trigger a scan at once
    When a declared runner stops serving its version
    Then its service counts one runner less within 0.5 virtual seconds
