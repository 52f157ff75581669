Feature: A relayed request runs as often as its route allows, and its status is truthful

  Scenario: A runner's answer is forwarded unchanged
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"
    And 1 attempt was made

  Scenario: A request that a runner refused as not run goes to another one
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner refuses it as not run
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"
    And 2 attempts were made, each to another runner

  Scenario: A request that no runner ran is refused at once, with a retry time
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner refuses it as not run
    And the runner refuses it as not run
    Then the client is refused with 503 and a time to come back, at once

  Scenario Outline: A request that may have run is never refused as not run
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And <event>
    Then the client has the status <status>
    And 1 attempt was made

    Examples:
      | event                                                    | status |
      | the runner's connection breaks                           | 502    |
      | the runner answers 503 without proof that it did not run | 502    |
      | the runner answers for another request                   | 502    |
      | 4.1 seconds pass                                         | 504    |

  Scenario: A safe request goes to another runner after any failure
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner's connection breaks
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"

  Scenario: A runner that can't be reached costs no attempt
    Given a relay with 3 runners and an "unsafe" route of 1 attempt
    When a client sends a request to the relay
    And the runner can't be reached
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"

  Scenario: A runner's failure is forwarded with its status
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner answers 500 with "sorry"
    Then the client has the whole answer 500 "sorry"

  Scenario: The deadline sent to a runner is what is left of the client's
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.5 seconds pass
    And the runner's connection breaks
    Then the last attempt states that 4.5 seconds are left

  Scenario: A request that exceeds its route's time-out is answered with 504
    Given a relay with 3 runners and a "safe" route of 1 attempt
    When a client sends a request to the relay
    And 4.1 seconds pass
    Then the client has the status 504
    And the runner's connection was closed

  Scenario: The request of a client that disconnects is cancelled
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the client disconnects
    Then the runner's connection was closed
    And no request is in flight at any runner

  Scenario: A safe request moves away from a silent runner
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.8 seconds pass
    Then 2 attempts were made, each to another runner
    And the first attempt's connection was closed

  Scenario: The route is looked up again before a retry
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the route is dropped
    And the runner refuses it as not run
    Then the client has the status 404
    And 1 attempt was made

  Scenario: A runner that is draining gets no retries either
    Given a relay with 2 runners and a "safe" route
    When a client sends a request to the relay
    And the other runner says that it is draining
    And the runner's connection breaks
    Then the client has the status 502
    And 1 attempt was made

  Scenario: While no runner is known, the retry time covers the start of one
    Given a relay with 0 runners and an "unsafe" route
    When a client sends a request to the relay
    Then the client is refused with 503 and asked to retry after 0.8 seconds
