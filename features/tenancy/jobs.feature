Feature: A job belongs to the tenant that submitted it

  Background:
    Given a relayed fleet with a table and a runner of 8 slots

  Scenario: Calls of another tenant find no job, and change nothing
    Given tenant "a" has submitted job "j" of 3 items
    Then tenant "b" can neither read job "j", nor its bodies, nor end it
    And a caller without a tenant cannot read job "j"
    And tenant "a" reads job "j" of 3 items at the other gateway

  Scenario: Two tenants may use the same job id
    Given tenant "a" has submitted job "j" of 3 items
    And tenant "b" has submitted job "j" of 2 items
    Then tenant "a" reads job "j" of 3 items at the other gateway
    And tenant "b" reads job "j" of 2 items at the other gateway

  Scenario: Submitting the same job twice creates one job
    Given tenant "a" has submitted job "j" of 3 items
    And tenant "a" has submitted job "j" of 3 items
    Then 3 items run
    And each attempt of an item names tenant "a"

  Scenario: Items run for their tenant after a power loss of all storage nodes, under a new leader
    Given tenant "a" has submitted job "j" of 3 items
    When all storage nodes lose power and start again
    Then 3 items run
    And each attempt of an item names tenant "a"

  Scenario: The limit of waiting tokens applies to each tenant separately
    Given the runner takes no items for now
    And at most 100 tokens may wait, 10 for each item
    And tenant "a" has submitted job "j" of 8 items
    And tenant "b" has submitted job "j" of 8 items
    Then tenant "a" can't submit job "k" of 3 items, over its limit
    And tenant "a" has submitted job "l" of 2 items
