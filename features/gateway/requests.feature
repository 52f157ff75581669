Feature: A gateway answers each caller completely and reports refusals as not run

  Scenario: Online requests are streamed completely from all runners
    Given a gateway fleet of 3 runners and 1 gateway
    When 30 gateway callers ask at once
    And 10 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And every runner of the gateway fleet has run requests

  Scenario: A non-repeatable request sent again to another gateway gets the recorded answer
    Given a gateway fleet of 3 runners and 2 gateways
    When a non-repeatable request "ping" is sent to gateway 0
    And 5 seconds of gateway time pass
    And a non-repeatable request "ping" is sent to gateway 1
    And 5 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A second gateway does not run a request that is in progress at the first
    Given a gateway fleet of 3 runners and 2 gateways
    When a non-repeatable request "ping" is sent to gateway 0
    And 0.1 seconds of gateway time pass
    And a non-repeatable request "ping" is sent to gateway 1
    And 5 seconds of gateway time pass
    Then gateway caller 0 has its own complete answer
    And gateway caller 1 got the outcome "unknown"
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A gateway without a configuration lease refuses new work as not run
    Given a gateway fleet of 3 runners and 1 gateway
    And gateway 0 has lost its configuration lease
    When 1 gateway caller asks at once
    Then gateway caller 0 got the outcome "not_run" at once with a retry-after time

  Scenario: Two gateways that get the same request at the same moment run it once
    Given a gateway fleet of 3 runners and 2 gateways
    When a non-repeatable request "ping" is sent to gateway 0
    And a non-repeatable request "ping" is sent to gateway 1
    And 5 seconds of gateway time pass
    Then one gateway caller has its own complete answer and the other got the outcome "unknown"
    And request "ping" was run 1 time by the gateway fleet

  Scenario: A gateway counts its waiting requests, held sessions and remaining retries
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    When 1 turn of "container-7" is run through gateway 0
    And 150 gateway callers ask at once
    And 0.1 seconds of gateway time pass
    Then gateway 0 counts as waiting the requests that are not at a runner, and 1 session held
    And gateway 0 may still send 20 retries
