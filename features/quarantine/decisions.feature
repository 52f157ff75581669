Feature: Holds are decided by the root group and reach every sending node

  Scenario: The leading controller fails between the second and the third crash
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And the fatal body has crashed 2 runners
    When the leading controller loses power
    And the fatal body is sent every 0.7 s for 30 s, at each gateway in turn
    Then at most 7 runners have crashed, three of them at its trials
    And the fatal body is held

  Scenario: All gateways restart
    Given the fatal body is held
    When all gateways lose power and start again
    And the fatal body is sent every 0.7 s for 5 s, at each gateway in turn
    Then no runner has run it

  Scenario: All machines lose power
    Given the fatal body is held
    When all machines lose power and start again
    And the fatal body is sent every 0.7 s for 5 s, at each gateway in turn
    Then no runner has run it

  Scenario: A gateway that was partitioned
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And gateway 3 is partitioned from all others
    And the fatal body has been held in the meantime
    When gateway 3 is reconnected, and 3 s go by
    And a client sends the fatal body at gateway 3
    Then it is answered 502 within 50 ms, without a retry time

  Scenario: An operator releases a request
    Given the fatal body is held
    When an operator releases it, and it is harmless now
    And a client sends the fatal body
    Then the client is served

  Scenario: A release that was delayed at a paused controller does not release a request that was held again
    # Guards against: a delayed order, whose operator has disconnected, that releases a fatal request.
    Given the fatal body is held
    When an operator's release is processed at a controller after the operator has disconnected
    And a client sends the fatal body
    Then no runner has run it
    And the fatal body is held

  # Guards against: an operator API that does not report the disconnection of its client.
  Scenario: A controller notices that the operator of a release has disconnected
    Given a controller's own interface whose releases of held requests are watched
    When an operator sends a release there
    Then the order is awaited
    When the operator closes the connection
    Then the order is not awaited any more

  Scenario: A held request that is answered at some runner is released
    Given the fatal body is held
    When it is harmless now, and a gateway that has not been notified gets a response
    And a client sends the fatal body
    Then the client is served

  Scenario: A hold expires, and the request is held again at its next crash
    Given the fatal body is held
    When 601 s go by
    And the fatal body is sent every 0.7 s for 10 s, at each gateway in turn
    Then one more runner has crashed
    And the fatal body is held
    When 3000 s go by
    And the fatal body is sent every 0.7 s for 5 s, at each gateway in turn
    Then no further runner has crashed

  Scenario: Many fatal bodies take bounded memory
    When 200 bodies are held one after the other
    Then 64 are kept, the newest ones
    When reports on 3000 crashes with 50 requests each reach a controller
    Then it keeps at most 300 crashes

  Scenario: Nodes report responses to suspects for a limited time
    Given a node that watches a suspect
    Then it reports a response to it 599 s later, but not 601 s later
