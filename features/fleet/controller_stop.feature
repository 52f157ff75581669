Feature: A controller answers the calls that have reached it before a planned stop

  Scenario: An operator's call of which a half has been sent is answered
    # Guards against: an order aborted by the stop of its controller, so that its outcome is unknown.
    Given the platform's stand-in with 3 controllers, 0 storage nodes, 0 gateways and 0 runners
    When an operator has sent half of a call to a controller, and that is asked to end
    And the operator sends the rest of the call
    Then the operator is answered, and told that the connection closes
    And the controller ends with code 0
