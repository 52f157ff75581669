Feature: A gateway routes requests by load, cache and zone, and never to a leaving runner

  Scenario Outline: A leaving runner gets no new work after two seconds, whatever reports that it leaves
    Given a gateway fleet of 3 runners and 1 gateway
    When "runner-0" of the gateway fleet leaves by <account>
    And 2 seconds of gateway time pass
    And 60 gateway callers ask at once
    And 10 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And "runner-0" of the gateway fleet started no request later than 2 seconds after it had left

    Examples:
      | account          |
      | its resource     |
      | its engine       |
      | the machine list |
      | silence          |

  Scenario: A drained runner gets work again when its resource ends the drain
    Given a gateway fleet of 1 runner and 1 gateway
    When "runner-0" of the gateway fleet leaves by its resource
    And 1 gateway caller asks at once
    And "runner-0" of the gateway fleet is no longer drained by its resource
    And 1 gateway caller asks at once
    And 5 seconds of gateway time pass
    Then gateway caller 0 got the outcome "not_run" at once with a retry-after time
    And gateway caller 1 has its own complete answer

  Scenario: A drained runner that control has marked gets work again once the mark is removed
    Given a gateway fleet of 1 runner and 1 gateway
    When "runner-0" of the gateway fleet leaves by its resource
    And "runner-0" of the gateway fleet leaves by the machine list
    And "runner-0" of the gateway fleet is no longer drained by its resource
    And 1 gateway caller asks at once
    And the draining mark of "runner-0" of the gateway fleet is removed
    And 1 gateway caller asks at once
    And 5 seconds of gateway time pass
    Then gateway caller 0 got the outcome "not_run" at once with a retry-after time
    And gateway caller 1 has its own complete answer

  Scenario: An engine that reports no load gets no more than its share
    Given a gateway fleet of 3 runners and 1 gateway
    And "runner-0" of the gateway fleet reports no load
    When 300 gateway callers ask, 40 ms apart
    And 10 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And "runner-0" of the gateway fleet ran between 25 and 42 percent of the requests

  Scenario: An engine that reports an implausible load does not affect the others
    Given a gateway fleet of 3 runners and 1 gateway
    And "runner-0" of the gateway fleet reports 100000 running requests
    When 200 gateway callers ask, 40 ms apart
    And 10 seconds of gateway time pass
    Then every gateway caller has its own complete answer

  Scenario: Failing runners are ejected, but never more than the allowed fraction
    Given a gateway fleet of 6 runners and 1 gateway
    And every stream from 4 runners of the gateway fleet breaks at its start
    When 300 gateway callers ask, 25 ms apart
    Then between 1 and 2 runners of the gateway fleet are ejected

  Scenario: Prompts with a common prefix are routed to runners that have it cached
    Given a gateway fleet of 6 runners and 1 gateway
    When 100 gateway callers with 5 long common prefixes ask, 200 ms apart
    And 10 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And at least 60 percent of the later gateway requests ran where cached

  Scenario: Requests stay in the zone until another zone is cheaper
    Given a gateway fleet of 6 runners in 2 zones and 2 gateways
    When 40 gateway callers ask, 100 ms apart
    And 5 seconds of gateway time pass
    Then all requests of the gateway fleet ran in zone "z0"
    When 60 gateway callers ask at once
    And 20 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And some requests of the gateway fleet ran in zone "z1"

  Scenario: Each runner has one owner, and only a drained gateway's runners change their owner
    Given a gateway fleet of 12 runners and 3 gateways
    Then each runner of the gateway fleet has exactly 1 owner
    When gateway 2 of the gateway fleet is drained by its resource
    Then each runner of the gateway fleet has exactly 1 owner
    And the runners that gateways 0 and 1 owned are still theirs

  Scenario: A runner is owned in its own zone while that zone has a gateway
    Given a gateway fleet of 8 runners in 2 zones and 4 gateways
    Then each runner of the gateway fleet has exactly 1 owner
    And each runner of the gateway fleet is owned in its own zone
    When gateway 1 of the gateway fleet is drained by its resource
    And gateway 3 of the gateway fleet is drained by its resource
    Then each runner of the gateway fleet has exactly 1 owner

  Scenario: A decision is explained by its candidates and their scores
    Given a gateway fleet of 3 runners and 1 gateway
    When 1 gateway caller asks at once
    And 3 seconds of gateway time pass
    Then the decision of gateway caller 0 names 2 candidates and the runner that ran it

  Scenario: A gap in the cache events makes the view stale until the next full listing
    Given a gateway cache view with blocks 1 to 8 listed
    When the gateway cache view takes event 5 after event 2
    Then the gateway cache view is stale
    When the gateway cache view takes a full listing
    Then the gateway cache view is complete

  Scenario: A gateway that was paused does not count its pause as silence of the runners
    Given a gateway fleet of 2 runners and 1 gateway
    When gateway 0 of the gateway fleet is paused for 30 seconds, its reports lost
    And 1 gateway caller asks at once
    And 3 seconds of gateway time pass
    Then every gateway caller has its own complete answer
