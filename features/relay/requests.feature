Feature: A relayed request is run as often as its route allows, and its answer says what is true

  Scenario: An answer goes back as it came
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"
    And 1 sending was made

  Scenario: What a runner refused as not run goes to another one
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner refuses it as not run
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"
    And 2 sendings were made, each to another runner

  Scenario: A request that nobody ran is refused at once, with the time to come back
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner refuses it as not run
    And the runner refuses it as not run
    Then the client is refused with 503 and a time to come back, at once

  Scenario Outline: What may have run is never refused as not run
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And <event>
    Then the client has the status <status>
    And 1 sending was made

    Examples:
      | event                                         | status |
      | the runner's connection breaks                | 502    |
      | the runner answers 503 without a word of it   | 502    |
      | the runner answers for another request        | 502    |
      | 4.1 seconds pass                              | 504    |

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

  Scenario: A failure of the runner's own is passed on with its status
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner answers 500 with "sorry"
    Then the client has the whole answer 500 "sorry"

  Scenario: The deadline that goes out is what is left of the client's
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.5 seconds pass
    And the runner's connection breaks
    Then the last sending says that 4.5 seconds are left

  Scenario: The time that the route allows ends a request with an answer
    Given a relay with 3 runners and a "safe" route of 1 attempt
    When a client sends a request to the relay
    And 4.1 seconds pass
    Then the client has the status 504
    And the runner's connection was closed

  Scenario: A client that leaves takes its request with it
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the client leaves
    Then the runner's connection was closed
    And no more is under way at any runner

  Scenario: A safe request leaves a silent runner
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.8 seconds pass
    Then 2 sendings were made, each to another runner
    And the first sending's connection was closed

  Scenario: The route is looked up anew before a request is sent again
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the route is dropped
    And the runner refuses it as not run
    Then the client has the status 404
    And 1 sending was made

  Scenario: A runner that is draining gets nothing, also no second sending
    Given a relay with 2 runners and a "safe" route
    When a client sends a request to the relay
    And the other runner says that it is draining
    And the runner's connection breaks
    Then the client has the status 502
    And 1 sending was made

  Scenario: While no runner is known, a client is told to come back when one may be
    Given a relay with 0 runners and an "unsafe" route
    When a client sends a request to the relay
    Then the client is refused with 503 and told to come back after 0.8 seconds
