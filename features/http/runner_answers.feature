Feature: The work for an answer of a runner is bounded in each turn, whatever its runner sends

  Scenario: An answer in very small chunks takes turns with others
    Given calls to 1 runner that answers each call in chunks
    When each runner sends 9000 chunks of 2 bytes and their end
    Then no call has ended
    And nothing more is read from the runners
    When the process has worked through what it has received
    Then each call has a whole answer of 18000 bytes
    And each connection may be used again

  Scenario: All runners together get a bounded share of a turn
    Given calls to 40 runners that answer each call in chunks
    When each runner sends 9000 chunks of 2 bytes and their end
    Then each turn brings at most 512 bytes of answers
    When the process has worked through what it has received
    Then each call has a whole answer of 18000 bytes

  Scenario: Clients and runners that send very small chunks share each turn
    Given calls to 40 runners that answer each call in chunks
    And a server that shares its turns with these calls
    When each runner sends 9000 chunks of 2 bytes and their end
    And a client sends a request in 9000 chunks of 2 bytes
    Then each turn brings at most 512 bytes of answers
    When 1500 turns have passed
    Then the client's request has arrived whole

  Scenario Outline: A connection that closes while its chunks wait for their turn
    Given calls to 1 runner that answers each call in chunks
    When each runner sends 9000 chunks of 2 bytes <ending>, and closes <how>
    And the process has worked through what it has received
    Then each call <result>

    Examples:
      | ending        | how      | result                            |
      | and their end | in order | has a whole answer of 18000 bytes |
      | without end   | in order | has failed                        |
      | without end   | by reset | has failed                        |

  Scenario: A call that is cancelled while its chunks wait for their turn hears nothing more
    Given calls to 1 runner that answers each call in chunks
    When each runner sends 9000 chunks of 2 bytes and their end
    And each call is cancelled
    And the process has worked through what it has received
    Then no call has ended

  Scenario: A slow receiver's answer is not read on once its chunks have had their turns
    Given calls to 1 runner that answers each call in chunks
    When each runner sends 9000 chunks of 2 bytes without end
    And the answer of each call is paused
    And the process has worked through what it has received
    Then nothing more is read from the runners
    When the answer of each call goes on
    Then more is read from the runners

  Scenario Outline: A stream of very small events takes turns with others
    Given calls to 20 runners that answer each call with a stream of events
    When each runner sends <events> events "<event>" in one chunk and the end of its answer
    Then no call has ended
    And nothing more is read from the runners
    And each turn brings at most 2048 lines of answers
    When the process has worked through what it has received
    Then each call has a whole answer of <bytes> bytes
    And each connection may be used again

    Examples:
      | events | event   | bytes |
      | 30000  | LF      | 30000 |
      | 30000  | CR      | 30000 |
      | 15000  | : LF LF | 45000 |

  Scenario: A stream with a long line does not wait for turns
    Given calls to 1 runner that answers each call with a stream of events
    When each runner sends 1 events "60000 x LF LF" in one chunk and the end of its answer
    Then each call has a whole answer of 60002 bytes

  Scenario: Interim answers without end are no answer
    Given calls to 1 runner that answers each call not at all so far
    When each runner sends 100 interim answers
    Then each call has failed: "too many interim answers"
    And no runner's connection is open

  Scenario: Interim answers are counted for each call on a connection
    Given calls to 1 runner that answers each call not at all so far
    When each runner answers 20 calls, one after the other, with 8 interim answers before each
    Then each call has a whole answer of 2 bytes
