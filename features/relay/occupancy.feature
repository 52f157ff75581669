Feature: A gateway asks where slots are free before it chooses a runner

  Scenario: A request goes where the leader knows of a free slot
    Given a relay with 3 runners and a "safe" route that asks the leader
    When the leader says that runner 1 has 4, runner 2 has 0 and runner 3 has 4
    And a client asks the relay
    Then the asked request went to runner 2

  Scenario: What was sent since the leader counted is counted in
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader says that runner 1 has 1 and runner 2 has 3
    And 4 clients send requests to the relay, one after the other
    Then runner 1 has 3 of the requests and runner 2 has 1

  Scenario: What the leader counts of this gateway is not counted twice
    Given a relay with 2 runners and a "safe" route that asks the leader
    And a client has sent a request to runner 1
    When the leader says that runner 1 has 1, of this gateway, and runner 2 has 3
    And 2 clients send requests to the relay, one after the other
    Then runner 1 has 3 of the requests and runner 2 has 0

  Scenario: A leader that says nothing delays a request for a moment, and the next ones not at all
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader says nothing
    And a client asks the relay
    Then the request is sent after 40 ms
    When another client asks the relay
    Then that request is sent at once, and the leader was asked once
    When 0.6 seconds pass at the asking relay
    And another client asks the relay
    Then the leader was asked twice

  Scenario: A gateway that knows of no leader sends at once
    Given a relay with 2 runners and a "safe" route that asks the leader
    When no leader is known
    And a client asks the relay
    Then that request is sent at once, and the leader was asked 0 times

  Scenario: A client that leaves while the leader is asked has nothing sent
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader says nothing
    And a client asks the relay and leaves
    And 0.1 seconds pass at the asking relay
    Then nothing was sent to a runner

  Scenario: A request without attempts left is given up at once, the leader is not asked again
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader says that runner 1 has 0 and runner 2 has 0
    And a client asks the relay
    And 0.01 seconds pass at the asking relay
    And the runners that the request goes to break off, twice
    Then the client has its answer at once, and the leader was asked twice

  Scenario: A runner that is drained while the leader is asked gets nothing
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader says nothing
    And a client asks the relay
    And runner 1 is drained meanwhile
    Then the asked request went to runner 2

  Scenario: The leader counts what gateways have under way and what items run
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When a gateway reports 2 online requests at the runner
    Then the leader says that the runner has 5, of which 2 are that gateway's
    And another storage node says that it does not lead

  Scenario: An answer stays small however many runners there are
    Given 3000 runners of which 2990 are full
    When the leader is asked for their service
    Then it names 48 runners, the 10 that are free first
