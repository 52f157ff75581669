Feature: A gateway tells the truth about what ran, at once

  Scenario: A non-repeatable request whose engine dies is unknown and never run again
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And the runner of "ping" crashes
    And 5 seconds of gateway time pass
    Then gateway caller 0 was told "unknown"
    And request "ping" was run 1 time by the gateway fleet
    When a non-repeatable request "ping" is sent to gateway 0
    And 5 seconds of gateway time pass
    Then gateway caller 1 was told "unknown"
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A non-repeatable request whose link breaks is taken up at its engine
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And every stream of gateway 0 is reset
    And 5 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A non-repeatable request waits for its engine while the link is cut
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And the link from gateway 0 to the runner of "ping" is reset and cut for 2 seconds
    And 8 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: An answer lost after the run is fetched, not run again
    Given a gateway fleet of 3 runners and 1 gateway
    And the first end on the gateway's links is lost
    When a non-repeatable request "ping" is sent to gateway 0
    And 12 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A caller of a non-repeatable request that left gets the recorded answer when it asks again
    Given a gateway fleet of 3 runners and 2 gateways
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And gateway caller 0 leaves
    And 5 seconds of gateway time pass
    And a non-repeatable request "ping" is sent to gateway 1
    And 1 seconds of gateway time pass
    Then gateway caller 1 has its own whole answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A claim whose answer is lost is released and nothing is sent
    Given a gateway fleet of 3 runners and 1 gateway
    And the answers to claims are lost
    When a non-repeatable request "ping" is sent to gateway 0
    And 5 seconds of gateway time pass
    Then gateway caller 0 was told "not_run"
    And request "ping" was run 0 times by the gateway fleet
    When the answers to claims are heard again
    And a non-repeatable request "ping" is sent to gateway 0
    And 5 seconds of gateway time pass
    Then gateway caller 1 has its own whole answer

  Scenario: Another content under a claimed id is a conflict and is not run
    Given a gateway fleet of 3 runners and 1 gateway
    When a non-repeatable request "ping" is sent to gateway 0
    And 3 seconds of gateway time pass
    And a non-repeatable request "ping" with other content is sent to gateway 0
    And 3 seconds of gateway time pass
    Then gateway caller 1 was told "not_run"
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A request refused by every engine is not run, and told so before its deadline
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    When a gateway caller asks with a deadline of 30 seconds
    And 3 seconds of gateway time pass
    Then gateway caller 0 was told "not_run" with a time to come back
    And gateway caller 0 had its end within 0.5 seconds

  Scenario: A passed deadline is answered at once and the engine's work is cancelled
    Given a gateway fleet of 1 runner and 1 gateway
    When a gateway caller asks for 2000 tokens with a deadline of 0.5 seconds
    And 3 seconds of gateway time pass
    Then gateway caller 0 was told "unknown"
    And gateway caller 0 had its end within 0.5 seconds
    And every run of the gateway fleet has ended

  Scenario: Retries stop when their budget is used up
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    When 200 gateway callers ask, 10 ms apart
    And 5 seconds of gateway time pass
    Then every gateway caller was told "not_run"
    And the gateway sent at most 260 attempts
    And gateway 0 may send no further retry now

  Scenario: Retries of requests that failed together are spread in time
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    And the attempts of the gateway are noted
    When 16 gateway callers ask at once
    And 2 seconds of gateway time pass
    Then the second attempts of the gateway came 10 to 35 ms after the first, spread over 10 ms or more

  Scenario: Each attempt carries what is left of the caller's deadline
    Given a gateway fleet of 2 runners and 1 gateway
    And every engine of the gateway fleet refuses without saying so in its reports
    And the attempts of the gateway are noted
    When a gateway caller asks with a deadline of 5 seconds
    And 2 seconds of gateway time pass
    Then each attempt of the gateway carried less than the 5 seconds and less than the one before

  Scenario: A request held by a gateway that fell silent is unknown at another and not run again
    Given a gateway fleet of 3 runners and 2 gateways
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.4 seconds of gateway time pass
    And gateway 0 of the gateway fleet is killed
    And a non-repeatable request "ping" is sent to gateway 1
    And 5 seconds of gateway time pass
    Then gateway caller 1 was told "unknown"
    And request "ping" was run 1 time by the gateway fleet
