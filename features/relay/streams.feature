Feature: A stream's events go on at once, in order, and are taken up at another runner where allowed

  Scenario: Whole events go on, and a part of one waits for its rest
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    Then the client has events 1 to 2 so far

  Scenario: A stream that may not be resumed is cut where it broke
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    Then the client's connection was cut after events 1 to 2
    And 1 sending was made

  Scenario: A resumable stream goes on at another runner behind its last whole event
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    And the runner's connection breaks
    Then the last sending asks to go on behind event 2
    And the first sending's connection was closed
    When the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: Events that the client has are not sent to it twice
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner sends events 2 to 3
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 3

  Scenario: A resumable stream leaves a runner that falls silent
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.2 seconds pass
    Then the last sending asks to go on behind event 2
    And the first sending's connection was closed

  Scenario: No answer has begun while no event has come
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner's connection breaks
    And the runner refuses it as not run
    Then the client has the status 502

  Scenario Outline: A stream in which an event is missing is taken up behind the last whole one
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the runner sends <spoilt>
    Then the client has events 1 to 3 so far
    And the last sending asks to go on behind event 3
    When the runner sends events 4 to 6
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 6

    Examples:
      | spoilt                              |
      | event 5 without event 4 before it   |
      | event 4 behind bytes of nothing     |

  Scenario: A stream that may not be resumed and misses an event is cut, never told as whole
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the runner sends event 5 without event 4 before it
    Then the client's connection was cut after events 1 to 3
