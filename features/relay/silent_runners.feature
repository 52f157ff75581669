Feature: A silent runner is left only for one that takes the request

  A runner that has sent nothing for too long may still answer. Another one that is full refuses within
  milliseconds, so the silent one is given up only when the other has not.

  Scenario Outline: The other runner does not take a stream: <course>
    # Guards against: an answer that is cut because of a runner's silence, although the runner goes on.
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And 1.02 seconds pass
    And <course>
    And the silent runner sends events 3 to 4
    And the silent runner ends its stream
    Then the client has the whole stream of events 1 to 4
    And 2 attempts were made, each to another runner
    And no request is in flight at any runner

    Examples:
      | course                               |
      | the runner refuses it as not run     |
      | the runner can't be reached          |
      | the runner's connection breaks       |
      | the runner answers 500 with "failed" |

  Scenario: The other runner does not take a safe request
    # Guards against: the same, for an answer that has not begun.
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.77 seconds pass
    And the runner refuses it as not run
    And the silent runner answers 200 with "late"
    Then the client has the whole answer 200 "late"
    And no request is in flight at any runner

  Scenario: The silent runner goes on before the other one has begun
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.02 seconds pass
    And the silent runner sends events 3 to 4
    Then the runner's connection was closed
    When the silent runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: The silent runner breaks off while the other one has not begun
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.02 seconds pass
    And the silent runner's connection breaks
    And the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4
    And 2 attempts were made, each to another runner

  Scenario: The other runner begins to answer
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.02 seconds pass
    And the runner sends events 3 to 4
    Then the first attempt's connection was closed
    When the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: The other runner has neither refused nor begun for a while
    # Two runners must not work on one request for long.
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.19 seconds pass
    Then the first attempt's connection is open
    When 0.02 seconds pass
    Then the first attempt's connection was closed
    And the last attempt asks to resume after event 2

  Scenario: The other runner has neither refused nor begun for a while, and the client has nothing yet
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.79 seconds pass
    Then the first attempt's connection is open
    When 0.02 seconds pass
    Then the first attempt's connection was closed

  Scenario: The other runner's connection is not open for a while
    # Guards against: an answer that is cut for a runner that no request has reached, as behind a cut
    # link.
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And no connection to a runner opens any more
    And 1.9 seconds pass
    And the silent runner sends events 3 to 4
    And the silent runner ends its stream
    Then the client has the whole stream of events 1 to 4
    And 2 attempts were made, each to another runner
    And no request is in flight at any runner

  Scenario: The other runner's connection opens late
    # Two runners must not work on one request for long.
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And no connection to a runner opens any more
    And 1.3 seconds pass
    And the runner's connection opens
    And 0.26 seconds pass
    Then the first attempt's connection was closed

  Scenario: The other runner begins to answer 500, and its body comes later
    # Guards against: an answer that is given up for a failure whose head has arrived.
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.77 seconds pass
    And the runner begins to answer 500
    And 0.1 seconds pass
    And the silent runner answers 200 with "late"
    Then the client has the whole answer 200 "late"
    And no request is in flight at any runner

  Scenario: The other runner is in another region and refuses after 0.1 s
    # Guards against: an answer that is cut for a runner that is full, and 80 ms away.
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.1 seconds pass
    And the runner refuses it as not run
    And the silent runner sends events 3 to 4
    And the silent runner ends its stream
    Then the client has the whole stream of events 1 to 4
    And 2 attempts were made, each to another runner

  Scenario: A trial of a held request is not sent on while its runner is silent
    # Guards against: a request that hangs runners before it ends them, and that is at two of them by
    # one permit.
    Given a relay with 3 runners and a "safe" route
    And the quarantine permits one trial of each request
    When a client sends a request to the relay
    And 0.8 seconds pass
    Then 1 attempt was made
    When the silent runner answers 200 with "late"
    Then the client has the whole answer 200 "late"
    And no request is in flight at any runner

  Scenario: A runner that stays silent is left for a third one
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.02 seconds pass
    And the runner refuses it as not run
    And 1.25 seconds pass
    Then the third attempt asks to resume after event 2
    And the first attempt's connection was closed
    When the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario Outline: Neither runner answers before the deadline: the other one <course>
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And 0.77 seconds pass
    And <course>
    And 4 seconds pass
    Then the client has the status 504
    And each attempt's connection has ended

    Examples:
      | course                           |
      | the runner refuses it as not run |
      | 0 seconds pass                   |

  Scenario: The client disconnects while two runners have its request
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And 1.02 seconds pass
    And the client disconnects
    Then each attempt's connection has ended
    And no request is in flight at any runner
