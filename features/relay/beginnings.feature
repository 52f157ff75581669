Feature: A stream that lacks its beginning is not completed

  Guards against streams completed without their first event, which was lost or corrupted in transit, or
  without any event. Within a stream a gap shows by the numbers before and after it; at its beginning there
  is no earlier number to compare with.

  Nothing on the wire states a stream's first number, and services number as they like. So the first number
  is compared with those of other streams of the service, and accepted where these differ. While too few
  were observed, a resumable stream that begins with neither 0 nor 1 is run again elsewhere, and a number
  that both runs agree on is accepted. Where that is not possible or not sufficient, the events are sent,
  and the end is held until other streams settle it, for at most the client's time-out.

  Scenario: A resumable request starts again at another runner when its first event is lost
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then nothing has been sent to the client
    And the last attempt asks for the stream from its start
    When the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4
    And 2 attempts were made, each to another runner

  Scenario: A request that may run once only is not sent again
    Given a relay with 3 runners and a "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then the client has the status 502
    And 1 attempt was made

  Scenario Outline: A first event that <what> is detected too
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And <sent>
    Then nothing has been sent to the client
    And the last attempt asks for the stream from its start

    Examples:
      | what          | sent                                         |
      | is corrupted  | the runner sends event 1 after garbage bytes |
      | has no number | the runner sends data without a number       |

  Scenario Outline: A stream that ends without any event is not completed where streams have events: <sent>
    Given a relay with 3 runners and a "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And <sent>
    And the runner ends its stream
    Then the client has no complete answer

    Examples:
      | sent                                       |
      | the runner sends a stream of no events     |
      | the runner sends a stream of one comment   |

  Scenario: Runners that all lose the first event are tried as often as the route allows, and no more
    Given a relay with 6 runners and a resumable "stream" route of 3 attempts
    And 20 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner sends events 2 to 4
    And the runner sends events 2 to 4
    Then the client has the status 502
    And 3 attempts were made, each to another runner

  Scenario: A stream without its beginning is aborted at its end if other streams have shown the loss by then
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And 2 other streams of the service begin with event 1 meanwhile
    And the runner ends its stream
    Then the client's connection was cut after events 2 to 4

  Scenario: The log line of the attempt gives the reason
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then the line "attempt_broke" of the request has "reason" = "the stream lacks its beginning"

  # Guards against: the first streams after a start completed without their first event.
  Scenario: Before any other stream, a resumable request whose stream begins late is compared with a second run
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then nothing has been sent to the client
    And the last attempt asks for the stream from its start
    When the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  # Guards against: an empty answer completed as a stream.
  Scenario: Before any other stream, a resumable request whose stream has no event is compared with a second run
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends a stream of no events
    And the runner ends its stream
    Then the last attempt asks for the stream from its start
    When the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  # Guards against: a service that numbers in an unusual way losing its first resumable streams.
  Scenario: Two runs that begin with the same unusual number are accepted
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner sends events 7 to 9
    And the runner ends its stream
    Then the client has events 7 to 9 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 7 to 9
    And 2 attempts were made, each to another runner

  # Guards against: a request refused because there is no second runner to compare with.
  Scenario: A stream that begins late is served where no other runner is left
    Given a relay with 1 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner ends its stream
    Then the client has events 7 to 9 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 7 to 9
    And 1 attempt was made

  # Guards against: a request refused because its attempts are used up by the comparison.
  Scenario: A stream that begins late is served where no attempt is left
    Given a relay with 3 runners and a resumable "stream" route of 2 attempts
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner sends events 12 to 14
    And the runner ends its stream
    Then the client has events 12 to 14 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 12 to 14
    And 2 attempts were made, each to another runner

  # Guards against: bytes that are no text forwarded to a client as the beginning of a stream.
  Scenario: Before any other stream, a stream whose first field name is not valid UTF-8 is not forwarded
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends event 1 after garbage bytes
    Then the client has the status 502

  # Guards against: failing the streams of a service that regularly sends such bytes.
  Scenario: A service whose streams all begin with such bytes is served
    Given a relay with 3 runners and a "stream" route
    And 4 earlier streams of the service began with bytes that are no text
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends a line that is no text
    And the runner ends its stream
    Then the client has the line that is no text, and the end

  # Guards against: data in another encoding treated as corrupt.
  Scenario: Data that is not UTF-8 is forwarded unchanged
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends an event with data in Latin-1
    And the runner ends its stream
    Then the client has the event with data in Latin-1, and the end

  Scenario Outline: A service whose streams begin with <number> is served
    Given a relay with 3 runners and a "stream" route
    And <earlier> earlier streams of the service began with event <number>
    When a client sends a request to the relay
    And the runner sends events <number> to <last>
    And the runner ends its stream
    Then the client has the whole stream of events <number> to <last>

    Examples:
      | number | last | earlier |
      | 0      | 4    | 0       |
      | 0      | 4    | 20      |
      | 1      | 4    | 0       |
      | 7      | 9    | 20      |

  # Guards against: failing the first streams of a service with unusual numbers, repeatable or not.
  Scenario Outline: A service whose streams begin with <number> is served while <earlier> of them are known, and the end is held
    Given a relay with 3 runners and a "stream" route
    And <earlier> earlier streams of the service began with event <number>
    When a client sends a request to the relay
    And the runner sends events <number> to <last>
    And the runner ends its stream
    Then the client has events <number> to <last> so far
    When 3.8 seconds pass
    Then the client has the whole stream of events <number> to <last>

    Examples:
      | number | last | earlier |
      | 2      | 4    | 0       |
      | 7      | 9    | 0       |
      | 7      | 9    | 1       |

  # Guards against: a gateway's first stream, which may run only once, completed without its beginning.
  Scenario: The end of a stream that begins late is held until other streams show that it lacks its beginning
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 2 other streams of the service begin with event 1 meanwhile
    Then the client's connection was cut after events 2 to 4
    And 1 attempt was made

  # Guards against: two streams that lost the same event accepted because they agree.
  Scenario: Two streams that both begin late don't confirm each other
    Given a relay with 3 runners and a "stream" route
    And 1 earlier streams of the service began with event 2
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    And 4 other streams of the service begin with event 1 meanwhile
    Then the client's connection was cut after events 2 to 4

  # Guards against: the end of a complete stream held longer than needed.
  Scenario: The end of a stream that begins late is sent as soon as other streams have begun alike
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner ends its stream
    And 2 other streams of the service begin with event 7 meanwhile
    Then the client has the whole stream of events 7 to 9

  # Guards against: a stream completed although the only other one began earlier.
  Scenario: When the hold is over, one other stream that began earlier decides
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    And 1 other streams of the service begin with event 1 meanwhile
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client's connection was cut after events 2 to 4

  # Guards against: a lone stream of a route completed although the service's other routes show the loss.
  Scenario: When the hold is over, other routes of the service decide where the own route has nothing to compare
    Given a relay with 3 runners and a "stream" route
    And 2 earlier streams of the service began with event 1
    When the same service gets another route
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client's connection was cut after events 2 to 4

  Scenario: Other routes decide by streams that begin while the end is held, too
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    And the same service gets another route
    And 2 other streams of the service begin with event 1 meanwhile
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client's connection was cut after events 2 to 4

  # Guards against: a damaged stream completed because another one lost the same event.
  Scenario: Other routes decide where as many streams of the own route began earlier as began alike
    Given a relay with 3 runners and a "stream" route
    And 2 earlier streams of the service began with event 1
    When the same service gets another route
    And 1 other streams of the service begin with event 2 meanwhile
    And 1 other streams of the service begin with event 1 meanwhile
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client's connection was cut after events 2 to 4

  # Guards against: failing a route that its service numbers in another way.
  Scenario: One other stream of the own route that began alike counts more than other routes
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When the same service gets another route
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    And 1 other streams of the service begin with event 2 meanwhile
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 2 to 4

  # Guards against: failing a resumable stream whose beginning two runs have confirmed.
  Scenario: Two runs that begin alike count more than other routes
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When the same service gets another, resumable route
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 2 to 4

  # Guards against: failing a lone stream by other routes that show nothing about it.
  Scenario Outline: A lone stream that begins with <number> is served while <others> on another route
    Given a relay with 3 runners and a "stream" route
    And <others>
    When the same service gets another route
    And a client sends a request to the relay
    And the runner sends events <number> to <last>
    And the runner ends its stream
    Then the client has events <number> to <last> so far
    When 3.8 seconds pass
    Then the client has the whole stream of events <number> to <last>

    Examples:
      | number | last | others                                                                        |
      | 2      | 4    | 1 earlier streams of the service began with event 1                           |
      | 7      | 9    | 20 earlier streams of the service began with event 7                          |
      | 15     | 18   | 20 earlier streams of the service began with event 1                          |
      | 2      | 4    | 20 earlier streams of the service had no event numbers                        |
      | 5      | 8    | earlier streams of the service began with events 1, 6, 9, 13, 1, 7, 12 and 20 |

  # Guards against: an end sent after the client's time-out.
  Scenario: An end is held no longer than a client waits for the next part of a stream
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And 2 seconds pass
    And the runner ends its stream
    Then the client has events 7 to 9 so far
    When 1.8 seconds pass
    Then the client has the whole stream of events 7 to 9

  Scenario: A service that has changed its first number on one route is served on another one
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    And 4 later ones began with event 2
    When the same service gets another route
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 2 to 4

  # Guards against: a damaged stream completed because no time is left to hold its end.
  Scenario: An end that can't be held is decided at once, by the own route
    Given a relay with 3 runners and a "stream" route
    And 1 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And 3.8 seconds pass
    And the runner ends its stream
    Then the client's connection was cut after events 2 to 4

  Scenario: An end that can't be held is decided at once, by other routes of the service
    Given a relay with 3 runners and a "stream" route
    And 2 earlier streams of the service began with event 1
    When the same service gets another route
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And 3.8 seconds pass
    And the runner ends its stream
    Then the client's connection was cut after events 2 to 4

  Scenario: An end that can't be held is sent at once where nothing is known
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And 3.8 seconds pass
    And the runner ends its stream
    Then the client has the whole stream of events 7 to 9

  # Guards against: an answer aborted at its deadline although all of it was there.
  Scenario: An end is held no longer than the request's deadline
    Given a relay with 3 runners and a "stream" route of 1 attempt
    When a client sends a request to the relay with 1 seconds to answer
    And the runner sends events 7 to 9
    And the runner ends its stream
    And 1 seconds pass
    Then the client has the whole stream of events 7 to 9

  # Guards against: holding the end of a stream without numbers, in which no loss would show.
  Scenario: The end of a stream without numbers is not held
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner ends its stream
    Then the client has a stream without event numbers, and the end

  # Guards against: an end that is written to a client that has disconnected.
  Scenario: A client that disconnects while the end of its stream is held gets nothing more
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner ends its stream
    And the client disconnects
    And 4 seconds pass
    Then the client has events 7 to 9 so far
    And no request is in flight at any runner

  Scenario: A service that numbers from 0 and whose very first stream lacks event 0 is not told as whole
    # Red: nearly all streams begin with 1, so their ends are not held until others begin.
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 4
    And the runner ends its stream
    And 2 other streams of the service begin with event 0 meanwhile
    Then the client's connection was cut after events 1 to 4

  Scenario: A service that is added again is not compared with its earlier streams
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When the service is removed and added again, and its runners begin with event 2
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 2 to 4

  Scenario: A service whose streams begin with many numbers has no expected number
    Given a relay with 3 runners and a "stream" route
    And earlier streams of the service began with events 1, 6, 9, 13, 1, 7, 12 and 20
    When a client sends a request to the relay
    And the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 3 to 4

  Scenario: Numbers that continue from one answer of a session to the next are not a loss
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 15 to 18
    And the runner ends its stream
    Then the client has the whole stream of events 15 to 18

  Scenario: A service that changes its first number is served after four streams
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 0
    And 4 later ones began with event 1
    When a client sends a request to the relay
    And the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: A resumed stream is not checked for its beginning
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client resumes its stream after event 3
    And the runner sends events 4 to 6 in chunks
    And the runner ends its stream
    Then the client has the whole stream of events 4 to 6

  Scenario: A client that resumes after the last event gets the end
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client resumes its stream after event 3
    And the runner sends a stream of no events
    And the runner ends its stream
    Then the last attempt asks to resume after event 2
    When the runner sends events 3 to 3 in chunks
    And the runner ends its stream
    Then the client has an empty stream, and the end

  Scenario: A service whose streams have no event numbers is served
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service had no event numbers
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner ends its stream
    Then the client has a stream without event numbers, and the end

  Scenario: A route whose streams have no numbers is served beside one of the same service that numbers them
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When the same service gets another route, on which streams have no numbers
    And a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner ends its stream
    Then the client has a stream without event numbers, and the end
