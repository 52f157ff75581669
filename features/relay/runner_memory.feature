Feature: What a gateway holds of runners' answers is bounded, and counts with what clients hold

  Scenario: An answer in very small pieces is buffered in about as many bytes as it has
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 200000 bytes of an answer in pieces of 2
    Then at most 2 bytes are held for each byte of it
    When the runner ends its answer
    Then the client has 200000 bytes and the end

  Scenario: Events that never end hold no more than the room that there is
    Given a relay with 3 runners, a resumable "stream" route and room for 8000000 bytes
    When 60 clients ask the relay for answers
    And each runner sends 1000000 bytes of an event without end, in pieces of 50000
    Then at most 8000000 bytes of the runners' answers are held
    When all clients have disconnected
    Then the relay holds nothing of the runners' answers

  Scenario: The answer that holds most gives way, before a client is refused
    Given a relay with 3 runners, a resumable "stream" route and room for 2000000 bytes
    When 2 clients ask the relay for answers
    And the first runner sends 1200000 bytes of an event without end, in pieces of 50000
    And the second runner sends 100000 bytes of an event without end, in pieces of 50000
    And a client asks for room for 900000 bytes
    Then it has room
    And the first answer was broken off: "no room for what the runner sends"
    And the second answer goes on
    And the runner of the first answer counts as failing

  Scenario: A small pending part gives way only once it is old
    Given a relay with 3 runners, a resumable "stream" route and room for 200000 bytes
    When 2 clients ask the relay for answers
    And the first runner sends 30000 bytes of an event without end, in pieces of 5000
    And a client asks for room for 190000 bytes
    Then it has no room
    And the first answer goes on
    When the runners send a comment each 0.2 seconds for 1.2 seconds, the first one inside its event
    And a client asks for room for 190000 bytes
    Then it has room
    And the first answer was broken off: "no room for what the runner sends"

  Scenario: An answer that its client does not take is not blamed on its runner
    Given a relay with 3 runners, a resumable "stream" route and room for 400000 bytes
    When 1 clients ask the relay for answers
    And the first runner sends 100000 bytes of an event without end, in pieces of 50000
    And the first client is too slow for its answer
    And a client asks for room for 350000 bytes
    Then it has no room
    And the first answer goes on

  Scenario: An event that is complete counts for nothing more
    Given a relay with 3 runners, a resumable "stream" route and room for 400000 bytes
    When 1 clients ask the relay for answers
    And the first runner sends 100000 bytes of an event and its end
    Then the relay holds nothing of the runners' answers

  Scenario: An answer that is not a stream is passed on early when there is no room to buffer it
    Given a relay with 3 runners, a "safe" route and room for 100000 bytes
    When 1 clients ask the relay for answers
    And the first runner sends 150000 bytes of a body, in pieces of 10000
    Then the relay holds nothing of the runners' answers but less than 100000 bytes
    And the first client has at least 50000 bytes so far
    When the first runner ends its answer
    Then the first client has 150000 bytes and the end

  Scenario: Bodies that never end give way once they are old
    Given a relay with 3 runners, a "safe" route and room for 1000000 bytes
    When 3 clients ask the relay for answers
    And each runner sends 200000 bytes of a body, in pieces of 50000
    And a client asks for room for 500000 bytes
    Then it has no room
    When 1.1 seconds pass
    And a client asks for room for 500000 bytes
    Then it has room
