Feature: An answer is told as complete only when it is whole

  A client got the first events of a stream, a few bytes that were none, and an end that said that the
  stream was complete. The runner had crashed in the middle of the stream; the gateway asked a second one
  to go on behind the last event, and that one answered 500. The failure was whole by itself, and its end
  was taken for the end of the client's answer, its body for the rest of the stream. The gateway's own
  line of such a request said that all was well:

    attempt_broke reason=connection closed last_event=12
    request_completed sends=2 reason=

  On one day 21 of 32 runs that took a stream up were answered 500, and 20 clients got such an answer.

  A stream without a length or chunks is told to be over by the close of its connection alone, and a runner
  that crashes closes it just as well. When that came inside an event, half an event went to the client and
  was told as the end.

  Scenario: The line of a request says what each runner answered and what marked its end
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner sends events 3 to 4 in chunks
    And the runner ends its stream
    Then the line "request_completed" of the request has "answers" = "200 chunked,200 chunked"
    And the line "request_completed" of the request has "last_event" = "4"

  Scenario: A failure of the runner that was to go on is not the end of the stream
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner answers 500 with "sorry"
    Then the client's connection was cut after events 1 to 2
    And 2 sendings were made, each to another runner

  Scenario Outline: A stream goes on at a third runner when the second answers with something else
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And <other answer>
    Then the client has events 1 to 2 so far
    And the third sending asks to go on behind event 2
    When the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

    Examples:
      | other answer                                  |
      | the runner answers 500 with "sorry"           |
      | the runner answers 504 with "late"              |
      | the runner answers 503 without a word of it   |
      | the runner answers 404 with "gone"            |
      | the runner answers 200 with "no stream"       |
      | the runner answers 500 with 300000 bytes      |

  Scenario: Half an event is not the end of a stream
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    And the runner ends its stream
    Then the client's connection was cut after events 1 to 2

  Scenario: A resumable stream that ends within an event goes on at another runner
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    And the runner ends its stream
    Then the last sending asks to go on behind event 2
    When the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: A stream that ends within its first event has not begun
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

  Scenario: A large 503 of a runner that has run the request does not promise that it has not
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner answers 503 with 300000 bytes
    Then the client has the status 502

  Scenario: A large failure of a runner costs a safe request nothing
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner answers 500 with 300000 bytes
    And the runner answers 200 with "hello"
    Then the client has the whole answer 200 "hello"

  Scenario: A large answer that breaks off is cut, never put together with another one
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 300000 bytes of an answer and breaks
    Then the client's connection was cut
    And 1 sending was made

  Scenario: A large answer that takes its time is not cut, since no other runner can go on with it
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 300000 bytes of an answer
    And 2 seconds pass
    And the runner ends its answer
    Then the client has 300000 bytes and the end
    And 1 sending was made

  Scenario: A numbered event behind data without a number is not the next one
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner sends event 2 without event 1 before it
    Then the client's connection was cut

  Scenario: A stream of a route that may be repeated but not resumed is not put together from two runs
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    Then the client's connection was cut after events 1 to 2
    And 1 sending was made

  Scenario: What can't be a part of the stream is known by its head, so that nobody waits for its body
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner begins to answer 500
    Then the third sending asks to go on behind event 2

  Scenario: A client whose stream nobody can go on with isn't kept waiting for the body of a failure
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner begins to answer 500
    Then the client's connection was cut after events 1 to 2

  Scenario: The line of a failed request says why
    Given a relay with 3 runners and an "unsafe" route
    When a client sends a request to the relay
    And the runner answers 500 with "sorry"
    Then the line "request_failed" of the request has "reason" = "the runner answered 500"

  Scenario: A stream goes on only where the table in force allows it
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the route is resumable no more
    And the runner's connection breaks
    Then the client's connection was cut after events 1 to 2
    And 1 sending was made

  Scenario: A mark of the byte order before the first event is no part of its id
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 behind a mark of the byte order
    And the runner ends its stream
    Then the client has 2 events and the end

  Scenario: A stream without a single event that only its connection's end has ended is not told as whole
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner ends its stream
    Then the client has the status 502

  Scenario Outline: An end that the runner declares ends the last event too: <last>
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner sends the line "<last>"
    And the runner ends its stream
    Then the client has events 1 to 2, the line "<last>", and the end

    Examples:
      | last         |
      | data: [DONE] |
      | : goodbye    |

  Scenario: A run that takes a stream up and brings nothing before its connection ends is no end
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner's connection breaks
    And the runner sends the head of a stream
    And the runner ends its stream
    Then the client's connection was cut after events 1 to 2

  Scenario: An event without an end is not gathered for ever
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends 5000000 bytes of one event
    Then the client's connection was cut after events 1 to 2

  Scenario: What may have run is not sent again by a route that doesn't allow it any more
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the route becomes "unsafe"
    And the runner's connection breaks
    Then the client has the status 502
    And 1 sending was made
