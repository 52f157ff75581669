Feature: The placement looks through the runners only when there is something to plan

  Scenario: Changes of tenants, sessions and gateways do not make it look
    Given a scale run of 4 nodes, 24 runners and 20 tenants
    When the scale run's group takes 40 changes of tenants, sessions and gateways in 8 virtual seconds
    Then the placement looked at the runners at most 12 times

  Scenario: Changes of services, versions, adapters and runners make it look at once
    Given a scale run of 4 nodes, 24 runners and 20 tenants
    When a runner of the scale run stops serving its version
    Then the service of the scale run counts one runner less within 0.5 virtual seconds
