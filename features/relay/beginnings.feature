Feature: A stream that lacks its beginning is not told as complete

  Clients got streams that began with event 2 and were told as complete: the runner's first event was
  lost or spoilt on its way, or none came at all. With the last event known, a gap is seen in front of
  the next one; before the first event there was nothing to compare with, and "nothing was seen before
  it" was taken for "nothing was before it". The gateway's line of such a request said that all was well:

    request_completed sends=1 answers=200 chunked last_event=7 reason=

  Nothing on the wire says with which number a stream begins, and services number as they like. So a
  stream is held to what the other streams of its service began with, and to nothing where they differ.
  While too few were seen, a stream that may be resumed and begins with neither 0 nor 1 is run again
  elsewhere, and what two runs agree on is believed. Where that is not possible, or was not enough,
  the events leave and the end waits until other streams have told, as long as a client bears.
  In 40 seeds of the soak 94 streams were told as complete without their beginning, and none since.

  Scenario: A resumable request begins anew at another runner when its first event is lost
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then nothing has left for the client
    And the last sending asks for the stream from its start
    When the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4
    And 2 sendings were made, each to another runner

  Scenario: A request that may run once only is not sent again
    Given a relay with 3 runners and a "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then the client has the status 502
    And 1 sending was made

  Scenario Outline: A first event that <what> is noticed too
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And <sent>
    Then nothing has left for the client
    And the last sending asks for the stream from its start

    Examples:
      | what          | sent                                              |
      | is spoilt     | the runner sends event 1 behind bytes of nothing  |
      | has no number | the runner sends data without a number            |

  Scenario Outline: A stream that ends without any event is not told as whole where streams have events: <sent>
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

  Scenario: Runners that all spoil the first event are asked as often as the route allows, and no more
    Given a relay with 6 runners and a resumable "stream" route of 3 attempts
    And 20 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner sends events 2 to 4
    And the runner sends events 2 to 4
    Then the client has the status 502
    And 3 sendings were made, each to another runner

  Scenario: A stream whose end comes when others have told with what streams begin
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And 2 other streams of the service begin with event 1 meanwhile
    And the runner ends its stream
    Then the client's connection was cut after events 2 to 4

  Scenario: The line of the attempt says what was wrong
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then the line "attempt_broke" of the request has "reason" = "the stream lacks its beginning"

  # Guards against: the first streams after a start told as whole without their first event.
  Scenario: While nothing is known, a resumable request whose stream begins late is compared with a second run
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    Then nothing has left for the client
    And the last sending asks for the stream from its start
    When the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  # Guards against: an empty answer told as a whole stream.
  Scenario: While nothing is known, a resumable request whose stream has no event is compared with a second run
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends a stream of no events
    And the runner ends its stream
    Then the last sending asks for the stream from its start
    When the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  # Guards against: a service that numbers in an unusual way losing its first resumable streams.
  Scenario: Two runs that begin alike with an unusual number are believed
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner sends events 7 to 9
    And the runner ends its stream
    Then the client has events 7 to 9 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 7 to 9
    And 2 sendings were made, each to another runner

  # Guards against: a request refused because there is nobody to compare its runner with.
  Scenario: A stream that begins late is served where no other runner is left
    Given a relay with 1 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner ends its stream
    Then the client has events 7 to 9 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 7 to 9
    And 1 sending was made

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
    And 2 sendings were made, each to another runner

  # Guards against: bytes that are no text handed to a client as the beginning of a stream.
  Scenario: While nothing is known, a stream whose first field has no text for a name is not handed on
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends event 1 behind bytes of nothing
    Then the client has the status 502

  # Guards against: a service that is known to send such bytes losing its streams.
  Scenario: A service whose streams all begin with such bytes is served
    Given a relay with 3 runners and a "stream" route
    And 4 earlier streams of the service began with bytes that are no text
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends a line that is no text
    And the runner ends its stream
    Then the client has the line that is no text, and the end

  # Guards against: data in another encoding taken for spoilt.
  Scenario: Data that is not UTF-8 is handed on as it is
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

  # Guards against: a service that numbers in an unusual way losing its first streams, run once or not.
  Scenario Outline: A service whose streams begin with <number> is served while <earlier> of them are known, and its end waits
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

  # Guards against: a stream that may run once only told as whole without its beginning, as the first of its gateway.
  Scenario: The end of a stream that begins late waits until other streams tell that it lacks its beginning
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 2 other streams of the service begin with event 1 meanwhile
    Then the client's connection was cut after events 2 to 4
    And 1 sending was made

  # Guards against: two streams that lost the same event believed because they agree.
  Scenario: Two streams that both begin late don't confirm each other
    Given a relay with 3 runners and a "stream" route
    And 1 earlier streams of the service began with event 2
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    And 4 other streams of the service begin with event 1 meanwhile
    Then the client's connection was cut after events 2 to 4

  # Guards against: the end of a whole stream kept back longer than needed.
  Scenario: The end of a stream that begins late leaves as soon as other streams have begun alike
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner ends its stream
    And 2 other streams of the service begin with event 7 meanwhile
    Then the client has the whole stream of events 7 to 9

  # Guards against: a stream told as whole although the only other one began earlier.
  Scenario: When the wait is over, one other stream that began earlier decides
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    And 1 other streams of the service begin with event 1 meanwhile
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client's connection was cut after events 2 to 4

  # Guards against: an end that comes when its client has given the silent stream up.
  Scenario: An end waits no longer than a client waits for the next part of a stream
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And 2 seconds pass
    And the runner ends its stream
    Then the client has events 7 to 9 so far
    When 1.8 seconds pass
    Then the client has the whole stream of events 7 to 9

  # Guards against: an answer cut at its deadline although all of it was there.
  Scenario: An end waits no longer than the request has time
    Given a relay with 3 runners and a "stream" route of 1 attempt
    When a client sends a request to the relay with 1 seconds to answer
    And the runner sends events 7 to 9
    And the runner ends its stream
    And 1 seconds pass
    Then the client has the whole stream of events 7 to 9

  # Guards against: a stream without numbers kept waiting, though no loss would show in it.
  Scenario: The end of a stream without numbers does not wait
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner ends its stream
    Then the client has a stream without numbers, and the end

  # Guards against: an end that is written to a client which has left meanwhile.
  Scenario: A client that leaves while the end of its stream waits is not answered any more
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 7 to 9
    And the runner ends its stream
    And the client leaves
    And 4 seconds pass
    Then the client has events 7 to 9 so far
    And no more is under way at any runner

  Scenario: A service that numbers from 0 and whose very first stream lacks event 0 is not told as whole
    # Red: 1 is how nearly all streams begin, so that their ends do not wait for others.
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 4
    And the runner ends its stream
    And 2 other streams of the service begin with event 0 meanwhile
    Then the client's connection was cut after events 1 to 4

  Scenario: A service just added is not held to what another one begins with
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When the service is added anew and its runners begin with event 2
    And a client sends a request to the relay
    And the runner sends events 2 to 4
    And the runner ends its stream
    Then the client has events 2 to 4 so far
    When 3.8 seconds pass
    Then the client has the whole stream of events 2 to 4

  Scenario: A service whose streams begin with many numbers is held to none
    Given a relay with 3 runners and a "stream" route
    And earlier streams of the service began with events 1, 6, 9, 13, 1, 7, 12 and 20
    When a client sends a request to the relay
    And the runner sends events 3 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 3 to 4

  Scenario: Numbers that run on from one answer of a session to the next are no loss
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When a client sends a request to the relay
    And the runner sends events 15 to 18
    And the runner ends its stream
    Then the client has the whole stream of events 15 to 18

  Scenario: A service that changes its numbers is served by them after four streams
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 0
    And 4 later ones began with event 1
    When a client sends a request to the relay
    And the runner sends events 1 to 4
    And the runner ends its stream
    Then the client has the whole stream of events 1 to 4

  Scenario: A client that takes its stream up again is not told that its beginning is missing
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client takes its stream up again behind event 3
    And the runner sends events 4 to 6
    And the runner ends its stream
    Then the client has the whole stream of events 4 to 6

  Scenario: A client that has the whole stream already gets its end
    Given a relay with 3 runners and a resumable "stream" route
    And 2 earlier streams of the service began with event 1
    When a client takes its stream up again behind event 3
    And the runner sends a stream of no events
    And the runner ends its stream
    Then the client has an empty stream, and the end

  Scenario: A service whose streams have no numbers is served as it is
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service had no numbers
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner ends its stream
    Then the client has a stream without numbers, and the end

  Scenario: A route whose streams have no numbers is served beside one of the same service that numbers them
    Given a relay with 3 runners and a "stream" route
    And 20 earlier streams of the service began with event 1
    When the same service gets another route, on which streams have no numbers
    And a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner sends data without a number
    And the runner ends its stream
    Then the client has a stream without numbers, and the end
