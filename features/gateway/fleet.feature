Feature: A gateway sends work where it runs soonest and never to a runner that leaves

  Scenario Outline: A runner that leaves by any account gets no new work after two seconds
    Given a gateway fleet of 3 runners and 1 gateway
    When "runner-0" of the gateway fleet leaves by <account>
    And 2 seconds of gateway time pass
    And 60 gateway callers ask at once
    And 10 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And "runner-0" of the gateway fleet began nothing after it had left for 2 seconds

    Examples:
      | account          |
      | its resource     |
      | its engine       |
      | the machine list |
      | silence          |

  Scenario: A drained runner takes work again when its resource says so
    Given a gateway fleet of 1 runner and 1 gateway
    When "runner-0" of the gateway fleet leaves by its resource
    And 1 gateway caller asks at once
    And "runner-0" of the gateway fleet is wanted again
    And 1 gateway caller asks at once
    And 5 seconds of gateway time pass
    Then gateway caller 0 was told "not_run" at once with a time to come back
    And gateway caller 1 has its own whole answer

  Scenario: A drained runner that control had marked takes work again once the mark is gone
    Given a gateway fleet of 1 runner and 1 gateway
    When "runner-0" of the gateway fleet leaves by its resource
    And "runner-0" of the gateway fleet leaves by the machine list
    And "runner-0" of the gateway fleet is wanted again
    And 1 gateway caller asks at once
    And the draining mark of "runner-0" of the gateway fleet is taken back
    And 1 gateway caller asks at once
    And 5 seconds of gateway time pass
    Then gateway caller 0 was told "not_run" at once with a time to come back
    And gateway caller 1 has its own whole answer

  Scenario: An engine that reports no load gets no more than its share
    Given a gateway fleet of 3 runners and 1 gateway
    And "runner-0" of the gateway fleet reports no load
    When 300 gateway callers ask, 40 ms apart
    And 10 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And "runner-0" of the gateway fleet ran between 25 and 42 percent of the requests

  Scenario: An engine that reports an absurd load does not stop the others
    Given a gateway fleet of 3 runners and 1 gateway
    And "runner-0" of the gateway fleet reports 100000 running requests
    When 200 gateway callers ask, 40 ms apart
    And 10 seconds of gateway time pass
    Then every gateway caller has its own whole answer

  Scenario: Failing runners are put out, but never more than the floor allows
    Given a gateway fleet of 6 runners and 1 gateway
    And every stream from 4 runners of the gateway fleet breaks at its start
    When 300 gateway callers ask, 25 ms apart
    Then between 1 and 2 runners of the gateway fleet are ejected

  Scenario: Prompts with a common beginning gather where it is cached
    Given a gateway fleet of 6 runners and 1 gateway
    When 100 gateway callers with 5 long common beginnings ask, 200 ms apart
    And 10 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And at least 60 percent of the later gateway requests ran where cached

  Scenario: Work stays in the zone until another zone pays
    Given a gateway fleet of 6 runners in 2 zones and 2 gateways
    When 40 gateway callers ask, 100 ms apart
    And 5 seconds of gateway time pass
    Then all requests of the gateway fleet ran in zone "z0"
    When 60 gateway callers ask at once
    And 20 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And some requests of the gateway fleet ran in zone "z1"

  Scenario: Each runner has one owner, and only a lost gateway's runners change hands
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

  Scenario: A hole in the cache events makes the view a mere hint until the next listing
    Given a gateway cache view with blocks 1 to 8 listed
    When the gateway cache view takes event 5 after event 2
    Then the gateway cache view is stale
    When the gateway cache view takes a full listing
    Then the gateway cache view is whole

  Scenario: A gateway that was paused does not take its own pause for silence
    Given a gateway fleet of 2 runners and 1 gateway
    When gateway 0 of the gateway fleet is paused for 30 seconds, its reports lost
    And 1 gateway caller asks at once
    And 3 seconds of gateway time pass
    Then every gateway caller has its own whole answer
