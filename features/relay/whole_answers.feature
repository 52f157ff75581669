Feature: An answer is completed only when it is whole

  Guards against two failures. First: a runner crashes in the middle of a stream, and the runner that is
  asked to resume it answers 500. The body of the failure must not be appended to the client's stream, nor
  may its end complete the stream.

  Second: a stream without a length or chunks ends with its connection, which a crashed runner closes just
  the same. A close inside an event must not complete the stream.

  Scenario: The log line of a request has the status and the framing of each runner's answer
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner sends events 3 to 4 in chunks
    And the runner ends its stream
    Then the line "request_completed" of the request has "answers" = "200 chunked,200 chunked"
    And the line "request_completed" of the request has "last_event" = "4"

  Scenario: The log line of a request has how many events each run brought, and how it ended
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner sends events 3 to 4 in chunks
    And the runner ends its stream
    Then the line "request_completed" of the request has "run_events" = "2,2"
    And the line "request_completed" of the request has "run_ends" = "connection reset,ended"

  Scenario: A failure of the runner that was to resume a stream is not the end of the stream
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner answers 500 with "sorry"
    Then the client's connection was cut after events 1 to 2
    And 2 attempts were made, each to another runner

  Scenario Outline: A stream continues at a third runner when the second answers with something else
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And <other answer>
    Then the client has events 1 to 2 so far
    And the third attempt asks to resume after event 2
    When the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

    Examples:
      | other answer                                             |
      | the runner answers 500 with "sorry"                      |
      | the runner answers 504 with "late"                       |
      | the runner answers 503 without proof that it did not run |
      | the runner answers 404 with "gone"                       |
      | the runner answers 200 with "no stream"                  |
      | the runner answers 500 with 300000 bytes                 |

  Scenario: Half an event is not the end of a stream
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    And the runner ends its stream
    Then the client's connection was cut after events 1 to 2

  Scenario: A resumable stream that ends within an event continues at another runner
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    And the runner ends its stream
    Then the last attempt asks to resume after event 2
    When the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: A stream that ends within its first event is answered with 502
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends half of event 1
    And the runner ends its stream
    Then the client has the status 502

  Scenario: Lines that end in CR LF end events as well
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 3 with lines that end in CR LF
    Then the client has 3 events with lines that end in CR LF so far
    When the runner ends its stream
    Then the client has 3 events with lines that end in CR LF, and the end

  Scenario: A large 503 without proof that the request was not run is not forwarded
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner answers 503 with 300000 bytes
    Then the client has the status 502

  Scenario: A safe request is retried after a large failure of a runner
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner answers 500 with 300000 bytes
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"

  Scenario: A large answer that is interrupted is aborted, never combined with another one
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 300000 bytes of an answer and breaks
    Then the client's connection was cut
    And 1 attempt was made

  Scenario: A large answer that is slow is not aborted, since no other runner can continue it
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 300000 bytes of an answer
    And 2 seconds pass
    And the runner ends its answer
    Then the client has 300000 bytes and the end
    And 1 attempt was made

  Scenario: A numbered event after data without a number is not the next one
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner sends event 2 without event 1 before it
    Then the client's connection was cut

  Scenario: A stream of a route that may be repeated but not resumed is not assembled from two runs
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    Then the client's connection was cut after events 1 to 2
    And 1 attempt was made

  Scenario: An answer that can't continue the stream is dropped at its head, without waiting for its body
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner begins to answer 500
    Then the third attempt asks to resume after event 2

  Scenario: A stream that no other runner can continue is aborted without waiting for a failure's body
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner begins to answer 500
    Then the client's connection was cut after events 1 to 2

  Scenario: The log line of a failed request gives the reason
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner answers 500 with "sorry"
    Then the line "request_failed" of the request has "reason" = "the runner answered 500"

  Scenario: A stream is resumed only where the current table allows it
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the route is no longer resumable
    And the runner's connection breaks
    Then the client's connection was cut after events 1 to 2
    And 1 attempt was made

  Scenario: A byte order mark before the first event is not part of its id
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 after a byte order mark
    And the runner ends its stream
    Then the client has 2 events and the end

  Scenario: A stream without any event that is ended only by its connection is not complete
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner ends its stream
    Then the client has the status 502

  Scenario: A framed end completes a trailing comment
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner sends the line ": goodbye"
    And the runner ends its stream
    Then the client has events 1 to 2, the line ": goodbye", and the end

  Scenario: A framed end completes the last event
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner sends the line "id: 3"
    And the runner ends its stream
    Then the client has events 1 to 2, the line "id: 3", and the end

  Scenario Outline: Data pending at a framed end is checked as an event: <last>
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner sends the line "<last>"
    And the runner ends its stream
    Then the client's connection was cut after events 1 to 2

    Examples:
      | last           |
      | id: 4          |
      | data: leftover |

  Scenario: A resumed run that sends nothing before its connection ends does not complete the stream
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner sends the head of a stream
    And the runner ends its stream
    Then the client's connection was cut after events 1 to 2

  Scenario: An event without an end is buffered up to a limit
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends 5000000 bytes of one event
    Then the client's connection was cut after events 1 to 2

  Scenario: A request that may have run is not repeated by a route that no longer allows it
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the route becomes "unsafe"
    And the runner's connection breaks
    Then the client has the status 502
    And 1 attempt was made
