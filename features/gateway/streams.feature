Feature: A gateway's streams are whole whatever the engine, the link or the reader does

  Scenario: Doubled chunks are dropped
    Given a gateway fleet of 2 runners and 1 gateway
    And every chunk on the gateway's links arrives twice
    When 8 gateway callers ask at once
    And 5 seconds of gateway time pass
    Then every gateway caller has its own whole answer

  Scenario: Chunks that overtake each other are put in order
    Given a gateway fleet of 2 runners and 1 gateway
    And every third chunk on the gateway's links is 30 ms late
    When 8 gateway callers ask at once
    And 5 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And no stream of the gateway was resumed

  Scenario: A lost chunk is fetched again from the same engine
    Given a gateway fleet of 2 runners and 1 gateway
    And every tenth chunk on the gateway's links is lost once
    When 8 gateway callers ask at once
    And 8 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And each request of the gateway fleet was run 1 time

  Scenario: A link that breaks in the middle of a stream is resumed at the same engine
    Given a gateway fleet of 2 runners and 1 gateway
    When 4 gateway callers ask at once
    And 0.4 seconds of gateway time pass
    And every stream of gateway 0 is reset
    And 5 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And each request of the gateway fleet was run 1 time

  Scenario: An engine that dies in the middle of a stream is replaced, the sent text forced
    Given a gateway fleet of 3 runners and 1 gateway
    When 6 gateway callers ask at once
    And 0.4 seconds of gateway time pass
    And "runner-0" of the gateway fleet crashes
    And 5 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And some request of the gateway fleet was run 2 times

  Scenario: A silent link cut in the middle of a stream ends in a whole answer elsewhere
    Given a gateway fleet of 3 runners and 1 gateway
    When 6 gateway callers ask at once
    And 0.4 seconds of gateway time pass
    And the link from gateway 0 to "runner-0" is cut
    And 12 seconds of gateway time pass
    Then every gateway caller has its own whole answer

  Scenario: A slow reader stops the reading and loses nothing
    Given a gateway fleet of 1 runner and 1 gateway
    When 1 gateway caller asks at once
    And 0.3 seconds of gateway time pass
    And gateway caller 0 stops reading
    And 0.1 seconds of gateway time pass
    Then gateway caller 0 hears nothing for 15 seconds
    When gateway caller 0 reads again
    And 3 seconds of gateway time pass
    Then every gateway caller has its own whole answer

  Scenario: A caller that leaves cancels its request at the engine, also when a cancel is lost
    Given a gateway fleet of 1 runner and 1 gateway
    And the first cancel on the gateway's links is lost
    When a gateway caller asks for 2000 tokens
    And 0.3 seconds of gateway time pass
    And gateway caller 0 leaves
    And 6 seconds of gateway time pass
    Then gateway caller 0 heard no end
    And every run of the gateway fleet has ended
    And no runner of the gateway has work in flight

  Scenario: An end whose last chunks were lost is no end until they are fetched
    Given a gateway fleet of 2 runners and 1 gateway
    And the last chunks of each stream on the gateway's links are lost once
    When 8 gateway callers ask at once
    And 5 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And each request of the gateway fleet was run 1 time

  Scenario: Answers of an engine that was given up on come late and are dropped
    Given a gateway fleet of 3 runners and 1 gateway
    And every chunk from "runner-0" to the gateway comes 13 seconds late
    When 6 gateway callers ask at once
    And 60 seconds of gateway time pass
    Then every gateway caller has its own whole answer
    And some request of the gateway fleet was run 2 times

  Scenario: Many readers that stop reading make the gateway hold nothing for them
    Given a gateway fleet of 2 runners and 1 gateway
    When 12 gateway callers ask for 2000 tokens each
    And 0.6 seconds of gateway time pass
    And every gateway caller stops reading
    And 15 seconds of gateway time pass
    Then gateway 0 holds no part of an answer that its caller has not been given
    And every gateway caller has been given less than 200 tokens
    When every gateway caller reads again
    And 60 seconds of gateway time pass
    Then every gateway caller has its own whole answer
