Feature: A job belongs to the tenant that handed it in

  Background:
    Given a relayed fleet with a table and a runner of 8 slots

  Scenario: A stranger's calls find no job, and change nothing
    Given tenant "a" has handed in job "j" of 3 items
    Then tenant "b" finds no job "j" to read, no body in it, and none to end
    And no tenant at all finds job "j" to read
    And tenant "a" reads job "j" of 3 items at the other gateway

  Scenario: Two tenants may use one id
    Given tenant "a" has handed in job "j" of 3 items
    And tenant "b" has handed in job "j" of 2 items
    Then tenant "a" reads job "j" of 3 items at the other gateway
    And tenant "b" reads job "j" of 2 items at the other gateway

  Scenario: The same job once more is the same job
    Given tenant "a" has handed in job "j" of 3 items
    And tenant "a" has handed in job "j" of 3 items
    Then 3 items run
    And each sending of an item names tenant "a"

  Scenario: Items run for their tenant under a new leader and after a loss of all power
    Given tenant "a" has handed in job "j" of 3 items
    When all storage nodes lose power and start again
    Then 3 items run
    And each sending of an item names tenant "a"

  Scenario: The limit of waiting tokens holds for each tenant by itself
    Given the runner takes no items for now
    And at most 100 tokens may wait, 10 for each item
    And tenant "a" has handed in job "j" of 8 items
    And tenant "b" has handed in job "j" of 8 items
    Then tenant "a" can't hand in job "k" of 3 items, over its limit
    And tenant "a" has handed in job "l" of 2 items
