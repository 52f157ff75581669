Feature: A client that takes its answer slowly holds up its runner's answer, and harms no other

  Scenario: The runner's answer is not read while its client is too slow
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 300000 bytes of an answer
    And the client is too slow for its answer
    Then the runner's answer is not read
    When the client has caught up
    Then the runner's answer is read

  Scenario: A runner whose answer is not read does not count as silent
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the client is too slow for its answer
    And 1.2 seconds pass
    Then 1 attempt was made
    And no runner counts as silent
    When the client has caught up
    And 1.2 seconds pass
    Then 2 attempts were made, each to another runner

  Scenario: The answer of a second runner is not read either while the client is too slow
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the client is too slow for its answer
    And the runner's connection breaks
    Then 2 attempts were made, each to another runner
    And the runner's answer is not read

  Scenario: The run of a slow client that disconnects ends
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 300000 bytes of an answer
    And the client is too slow for its answer
    And the client disconnects
    Then the runner's connection was closed
    And no request is in flight at any runner
