Feature: A stream whose end is in doubt is told as complete only once another run has confirmed it

  Guards against two failures. First: a stream breaks off behind event n, and the run that takes it up is
  answered 200 without an event, its end rightly told in chunks; the client got the end of a complete stream.

  Second: a stream with neither a length nor chunks is cut between two events by the orderly close of its
  connection, which also is how such a stream ends; the client got its last chunk.

  # --- a run that takes a stream up and sends nothing ---

  Scenario Outline: An empty run behind a break does not end the stream by itself: <empty>
    Given a relay with 3 runners and a resumable "stream" route of 4 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And <empty>
    Then the client has events 1 to 2 so far
    And attempt 3 asks to resume after event 1
    When the runner sends events 2 to 3 in chunks
    Then the client has events 1 to 2 so far

    Examples:
      | empty                                              |
      | the runner ends a stream without events in chunks  |
      | the runner ends a stream without events by closing |

  Scenario: The run that repeats the last event and ends in chunks completes a stream that broke off behind it
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner ends a stream without events in chunks
    And the runner sends events 2 to 2 in chunks
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 2
    And attempt 1 counted as failed, and no other one

  Scenario: The run that only confirms the end brings more, which are asked for behind the last event
    Given a relay with 4 runners and a resumable "stream" route of 4 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner ends a stream without events in chunks
    And the runner sends events 2 to 3 in chunks
    Then the client has events 1 to 2 so far
    And attempt 4 asks to resume after event 2
    When the runner sends events 3 to 4 in chunks
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4
    And the runner of attempt 2 counted as failed

  Scenario: A run that was to repeat the last event and sends nothing proves nothing
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner ends a stream without events in chunks
    And the runner ends a stream without events in chunks
    Then the client's connection was cut after events 1 to 2
    And the runner of attempt 3 counted as failed

  Scenario: No attempt is left behind an empty run
    Given a relay with 3 runners and a resumable "stream" route of 2 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner ends a stream without events in chunks
    Then the client's connection was cut after events 1 to 2

  Scenario: The only runner that is left behind an empty run has to repeat the last event
    Given a relay with 2 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner ends a stream without events in chunks
    Then attempt 3 asks to resume after event 1
    When the runner sends events 2 to 2 in chunks
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 2

  Scenario: Half of an event arrived before the break, so no empty run can be right
    Given a relay with 4 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner sends half of event 3
    And the runner's connection breaks
    And the runner ends a stream without events in chunks
    Then attempt 3 asks to resume after event 2
    When the runner ends a stream without events in chunks
    Then the client's connection was cut after events 1 to 2

  Scenario: The first event is the last one
    Given a relay with 3 runners and a resumable "stream" route of 3 attempts
    When a client sends a request to the relay
    And the runner sends events 1 to 1 in chunks
    And the runner's connection breaks
    And the runner ends a stream without events in chunks
    Then attempt 3 asks to resume after event 0
    When the runner sends events 1 to 1 in chunks
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 1

  Scenario Outline: Streams that break at random are complete, though <percent> % of the runs that resume one send nothing
    When 200 clients read streams of <events> events that break at random, while <percent> % of the runs that resume one send nothing
    Then every stream was complete, and many runs sent nothing

    Examples:
      | percent | events |
      | 20      | 12     |
      | 60      | 12     |
      | 60      | 4      |

  # --- a client that resumes by itself ---

  Scenario: A client's own resumption gets the end only from a run that repeats its last event
    Given a relay with 3 runners and a resumable "stream" route
    When a client resumes its stream after event 5
    And the runner ends a stream without events in chunks
    Then attempt 2 asks to resume after event 4
    When the runner sends events 5 to 5 in chunks
    And the runner ends its stream
    Then the client has an empty stream, and the end

  Scenario: A client's own resumption is not ended by empty runs
    Given a relay with 3 runners and a resumable "stream" route
    When a client resumes its stream after event 5
    And the runner ends a stream without events in chunks
    And the runner ends a stream without events in chunks
    Then the client has the status 502

  Scenario: A client's own resumption is ended where there is one runner only
    Given a relay with 1 runners and a resumable "stream" route
    When a client resumes its stream after event 5
    And the runner ends a stream without events in chunks
    And the runner sends events 5 to 5 in chunks
    And the runner ends its stream
    Then the client has an empty stream, and the end

  Scenario: A client's own resumption is ended where a request has one attempt only
    Given a relay with 3 runners and a resumable "stream" route of 1 attempts
    When a client resumes its stream after event 5
    And the runner ends a stream without events in chunks
    Then the client has an empty stream, and the end

  # --- an end that only the connection's close tells ---

  Scenario Outline: The orderly close between two events is checked, and the stream goes on
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner ends its stream
    Then the client has events 1 to 2 so far
    And attempt 2 asks to resume after event 2
    When the runner sends events 3 to 4 <framing>
    And the runner ends its stream
    Then <outcome>
    And the runner of attempt 1 counted as failed

    Examples:
      | framing   | outcome                                                |
      | in chunks | the client has the whole stream of events 1 to 4       |
      | in pieces | the client's connection was cut after events 1 to 4    |

  Scenario Outline: Another runner confirms the orderly close behind the last event: <confirmed>
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner ends its stream
    And <confirmed>
    Then the client has the whole stream of events 1 to 2
    And 2 attempts were made, each to another runner
    And no runner counted as failed
    And the line "stream_end_checked" of the request has "last_event" = "2"
    And the line "stream_end_accepted" of the request has "is_confirmed" = "True"

    Examples:
      | confirmed                                          |
      | the runner ends a stream without events in chunks  |
      | the runner ends a stream without events by closing |

  Scenario Outline: No other run can tell, so the orderly close stands: <course>
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner ends its stream
    And <course>
    Then the client has the whole stream of events 1 to 2
    And no request is in flight at any runner

    Examples:
      | course                               |
      | the runner's connection breaks       |
      | the runner answers 500 with "failed" |
      | 4 seconds pass                       |

  Scenario: Half of the next event arrives from the run that was to confirm the orderly close
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner ends its stream
    And the runner sends the head of a stream
    And the runner sends half of event 3
    And the runner's connection breaks
    Then the client's connection was cut after events 1 to 2

  Scenario: The end is held no longer than a client waits
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner ends its stream
    And 3.7 seconds pass
    Then the client has events 1 to 2 so far
    When 0.1 seconds pass
    Then the client has the whole stream of events 1 to 2
    And no request is in flight at any runner

  Scenario Outline: No other run may be asked, so the orderly close stands at once
    Given a relay with <runners> runners and a <route>
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 2
    And 1 attempt was made

    Examples:
      | runners | route                                     |
      | 1       | resumable "stream" route                  |
      | 3       | resumable "stream" route of 1 attempts    |
      | 3       | "stream" route                            |

  Scenario: A stream without numbers can't be resumed, so the orderly close stands
    Given a relay with 3 runners and a resumable "stream" route
    And 20 earlier streams of the service had no event numbers
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner ends its stream
    Then the client has 1 events and the end
    And 1 attempt was made

  Scenario: A stop of the gateway ends a stream whose beginning and end are both to be confirmed
    # Guards against: requests behind such a stream that a planned stop left without an answer.
    Given a relay with 4 runners and a resumable "stream" route of 4 attempts
    When a client sends a request to the relay
    And the runner sends events 5 to 7 in pieces
    And the runner sends events 5 to 7 in pieces
    And the runner ends its stream
    And the gateway's grace time has passed
    Then the request is over

  Scenario: A stop of the gateway does not wait for the check
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2
    And the runner ends its stream
    And the gateway's grace time has passed
    Then the client has the whole stream of events 1 to 2
