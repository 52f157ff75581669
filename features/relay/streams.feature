Feature: Events are forwarded at once and in order, and streams resume at another runner where allowed

  Scenario: Complete events are forwarded, and a partial one waits for its rest
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    Then the client has events 1 to 2 so far

  Scenario: A stream that may not be resumed is aborted where it was interrupted
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    Then the client's connection was cut after events 1 to 2
    And 1 attempt was made

  Scenario: A resumable stream continues at another runner after its last complete event
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    And the runner's connection breaks
    Then the last attempt asks to resume after event 2
    And the first attempt's connection was closed
    When the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: Events that a second runner repeats are not sent to the client twice
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner sends events 2 to 3
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 3

  Scenario: A resumable stream moves away from a runner that stops sending
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.2 seconds pass
    Then the last attempt asks to resume after event 2
    And the first attempt's connection was closed

  Scenario: The answer does not begin before the first event
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner's connection breaks
    And the runner refuses it as not run
    Then the client has the status 502

  Scenario Outline: A stream in which an event is missing is resumed after the last complete one
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the runner sends <sent>
    Then the client has events 1 to 3 so far
    And the last attempt asks to resume after event 3
    When the runner sends events 4 to 6
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 6

    Examples:
      | sent                              |
      | event 5 without event 4 before it |
      | event 4 after garbage bytes       |

  Scenario: A stream that may not be resumed and misses an event is aborted, never completed
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the runner sends event 5 without event 4 before it
    Then the client's connection was cut after events 1 to 3
