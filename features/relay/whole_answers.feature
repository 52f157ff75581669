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

  Scenario: Half an event is not the end of a stream
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner sends half of event 3
    And the runner ends its stream
    Then the client's connection was cut after events 1 to 2
