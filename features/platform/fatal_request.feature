Feature: Real processes stop sending a request body that crashes its runners

  Scenario: The body arrives at one gateway after the other, and an operator releases it
    Given the platform's stand-in with 3 controllers, 1 storage nodes, 3 gateways and 8 runners
    When the operator's configuration is taken
    Then each gateway serves requests
    When the body that ends runners comes at one gateway after the other until it is held
    Then it ended at most 10 runners, and runs no more in 12 rounds at any gateway
    And other requests are served at each gateway
    And the metrics of all nodes and the log of a controller say what is held
    When all controllers are killed and start again
    Then it runs no more in 3 rounds at any gateway
    When the operator releases it, and runners no longer crash on it
    Then it is served
