Feature: A gateway reports at once whether a request may have run

  Scenario: A non-repeatable request whose engine dies ends as unknown and is never run again
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And the runner of "ping" crashes
    And 5 seconds of gateway time pass
    Then gateway caller 0 got the outcome "unknown"
    And request "ping" was run 1 time by the gateway fleet
    When a non-repeatable request "ping" is sent to gateway 0
    And 5 seconds of gateway time pass
    Then gateway caller 1 got the outcome "unknown"
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A non-repeatable request whose link breaks is resumed at its engine
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And every stream of gateway 0 is reset
    And 5 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A non-repeatable request waits for its engine while the link is cut
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And the link from gateway 0 to the runner of "ping" is reset and cut for 2 seconds
    And 8 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: An answer that is lost after the run is fetched again without a second run
    Given a gateway fleet of 3 runners and 1 gateway
    And the first end on the gateway's links is lost
    When a non-repeatable request "ping" is sent to gateway 0
    And 12 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A caller that disconnects from a non-repeatable request gets the recorded answer on retry
    Given a gateway fleet of 3 runners and 2 gateways
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And gateway caller 0 disconnects
    And 5 seconds of gateway time pass
    And a non-repeatable request "ping" is sent to gateway 1
    And 1 seconds of gateway time pass
    Then gateway caller 1 has its own complete answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A claim whose answer is lost is released and nothing is sent
    Given a gateway fleet of 3 runners and 1 gateway
    And the answers to claims are lost
    When a non-repeatable request "ping" is sent to gateway 0
    And 5 seconds of gateway time pass
    Then gateway caller 0 got the outcome "not_run"
    And request "ping" was run 0 times by the gateway fleet
    When the answers to claims arrive again
    And a non-repeatable request "ping" is sent to gateway 0
    And 5 seconds of gateway time pass
    Then gateway caller 1 has its own complete answer

  Scenario: Different content under a claimed id is a conflict and is not run
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 3 seconds of gateway time pass
    And a non-repeatable request "ping" with other content is sent to gateway 0
    And 3 seconds of gateway time pass
    Then gateway caller 1 got the outcome "not_run"
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A request refused by every engine ends as not run before its deadline
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    When a gateway caller asks with a deadline of 30 seconds
    And 3 seconds of gateway time pass
    Then gateway caller 0 got the outcome "not_run" with a retry-after time
    And gateway caller 0 had its end within 0.5 seconds

  Scenario: A passed deadline is answered at once and the engine's work is cancelled
    Given a gateway fleet of 1 runner and 1 gateway
    When a gateway caller asks for 2000 tokens with a deadline of 0.5 seconds
    And 3 seconds of gateway time pass
    Then gateway caller 0 got the outcome "unknown"
    And gateway caller 0 had its end within 0.5 seconds
    And every run of the gateway fleet has ended

  Scenario: Retries stop when their budget is used up
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    When 200 gateway callers ask, 10 ms apart
    And 5 seconds of gateway time pass
    Then every gateway caller got the outcome "not_run"
    And the gateway sent at most 260 attempts
    And gateway 0 may send no further retry now

  Scenario: Retries of requests that failed together are spread in time
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    And the attempts of the gateway are recorded
    When 16 gateway callers ask at once
    And 2 seconds of gateway time pass
    Then the second attempts of the gateway came 10 to 35 ms after the first, spread over 10 ms or more

  Scenario: Each attempt carries what is left of the caller's deadline
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    And the attempts of the gateway are recorded
    When a gateway caller asks with a deadline of 5 seconds
    And 2 seconds of gateway time pass
    Then each attempt of the gateway carried less than the 5 seconds and less than the one before

  Scenario: A request claimed by a killed gateway is unknown at another gateway and not run again
    Given a gateway fleet of 3 runners and 2 gateways
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And gateway 0 of the gateway fleet is killed
    And a non-repeatable request "ping" is sent to gateway 1
    And 5 seconds of gateway time pass
    Then gateway caller 1 got the outcome "unknown"
    And request "ping" was run 1 time by the gateway fleet
