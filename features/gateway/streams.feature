Feature: A gateway delivers complete streams despite faults of engines, links and callers

  Scenario: Duplicate chunks are dropped
    Given a gateway fleet of 2 runners and 1 gateway
    And every chunk on the gateway's links arrives twice
    When 8 gateway callers ask at once
    And 5 seconds of gateway time pass
    Then every gateway caller has its own complete answer

  Scenario: Reordered chunks are put in order
    Given a gateway fleet of 2 runners and 1 gateway
    And every third chunk on the gateway's links is 30 ms late
    When 8 gateway callers ask at once
    And 5 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And no stream of the gateway was resumed

  Scenario: A lost chunk is fetched again from the same engine
    Given a gateway fleet of 2 runners and 1 gateway
    And every tenth chunk on the gateway's links is lost once
    When 8 gateway callers ask at once
    And 8 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And each request of the gateway fleet was run 1 time

  Scenario: A link that breaks in the middle of a stream is resumed at the same engine
    Given a gateway fleet of 2 runners and 1 gateway
    When 4 gateway callers ask at once
    And 0.4 seconds of gateway time pass
    And every stream of gateway 0 is reset
    And 5 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And each request of the gateway fleet was run 1 time

  Scenario: After an engine dies mid-stream, another continues with the sent text as forced prefix
    Given a gateway fleet of 3 runners and 1 gateway
    When 6 gateway callers ask at once
    And 0.4 seconds of gateway time pass
    And "runner-0" of the gateway fleet crashes
    And 5 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And some request of the gateway fleet was run 2 times

  Scenario: After a silent link cut mid-stream, another runner completes the answer
    Given a gateway fleet of 3 runners and 1 gateway
    When 6 gateway callers ask at once
    And 0.4 seconds of gateway time pass
    And the link from gateway 0 to "runner-0" is cut
    And 12 seconds of gateway time pass
    Then every gateway caller has its own complete answer

  Scenario: A caller that stops reading pauses the stream and loses nothing
    Given a gateway fleet of 1 runner and 1 gateway
    When 1 gateway caller asks at once
    And 0.3 seconds of gateway time pass
    And gateway caller 0 stops reading
    And 0.1 seconds of gateway time pass
    Then gateway caller 0 receives nothing for 15 seconds
    When gateway caller 0 reads again
    And 3 seconds of gateway time pass
    Then every gateway caller has its own complete answer

  Scenario: A disconnected caller's request is cancelled at the engine, also when a cancel is lost
    Given a gateway fleet of 1 runner and 1 gateway
    And the first cancel on the gateway's links is lost
    When a gateway caller asks for 2000 tokens
    And 0.3 seconds of gateway time pass
    And gateway caller 0 disconnects
    And 6 seconds of gateway time pass
    Then gateway caller 0 received no end
    And every run of the gateway fleet has ended
    And no runner of the gateway has work in flight

  Scenario: A stream whose last chunks were lost ends only after they are fetched
    Given a gateway fleet of 2 runners and 1 gateway
    And the last chunks of each stream on the gateway's links are lost once
    When 8 gateway callers ask at once
    And 5 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And each request of the gateway fleet was run 1 time

  Scenario: Late chunks from an abandoned attempt are dropped
    Given a gateway fleet of 3 runners and 1 gateway
    And every chunk from "runner-0" to the gateway comes 13 seconds late
    When 6 gateway callers ask at once
    And 60 seconds of gateway time pass
    Then every gateway caller has its own complete answer
    And some request of the gateway fleet was run 2 times

  Scenario: The gateway buffers nothing for many callers that stop reading
    Given a gateway fleet of 2 runners and 1 gateway
    When 12 gateway callers ask for 2000 tokens each
    And 0.6 seconds of gateway time pass
    And every gateway caller stops reading
    And 15 seconds of gateway time pass
    Then gateway 0 holds no undelivered part of an answer
    And every gateway caller has received less than 200 tokens
    When every gateway caller reads again
    And 60 seconds of gateway time pass
    Then every gateway caller has its own complete answer
