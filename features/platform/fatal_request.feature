Feature: Real processes stop sending a body that ends the runners that run it

  Scenario: The body comes at one gateway after the other, and an operator lets it go
    Given the platform's stand-in with 3 controllers, 1 storage nodes, 3 gateways and 8 runners
    When the operator's configuration is taken
    Then each gateway serves requests
    When the body that ends runners comes at one gateway after the other until it is held
    Then it ended at most 10 runners, and runs no more in 12 rounds at any gateway
    And other requests are served at each gateway
    And the metrics of all nodes and the log of a controller say what is held
    When all controllers are killed and start again
    Then it runs no more in 3 rounds at any gateway
    When the operator lets it go, and runners bear it
    Then it is served
