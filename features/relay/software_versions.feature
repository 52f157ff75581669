Feature: A stream continues only at the service and software version that sent its first event

  Scenario: A broken stream continues at a runner of its version
    Given a relay with 6 runners and a resumable "stream" route
    And runners of versions v1, v2, v1, v2, v2, v2
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the runner's connection breaks
    Then 2 attempts were made, both at one version
    And the last attempt asks to resume after event 3

  Scenario: Of the runners of its version one with a settled connection is preferred
    Given a relay with 6 runners and a resumable "stream" route
    And runners of versions v1, v1, v1, v1, v1, v1
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And a connection to one other runner has settled
    And the runner's connection breaks
    Then the last attempt went to that runner

  Scenario: Without a runner of its version left, a broken stream is cut off at once
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions v1, v2, v3
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the runner's connection breaks
    Then 1 attempt was made
    And the client's connection was cut after events 1 to 3
    And the request's line says that no other runner of its software version may continue it

  Scenario: A run without an event binds nothing
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions v1, v2, v3
    When a client sends a request to the relay
    And the runner sends the head of a stream
    And the runner's connection breaks
    Then 2 attempts were made, each to another runner

  Scenario: A silent runner is not left for one of another version
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions v1, v2, v3
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And 3.5 seconds pass
    Then 1 attempt was made

  Scenario: The leader's placement at another version is not used
    Given a relay with 6 runners and a resumable "stream" route
    And runners of versions v1, v2, v1, v2, v2, v2
    And a leader that places each request at a runner of another version than the first one
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the runner's connection breaks
    Then 2 attempts were made, both at one version
    And the leader was asked to avoid the runners of the other version

  Scenario: A table that moves the route to another service ends a stream that breaks
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 3
    And the route moves to another service with a runner
    And the runner's connection breaks
    Then 1 attempt was made
    And the client's connection was cut after events 1 to 3

  Scenario Outline: A client resumes a stream that <began>, beside versions <versions>
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions <versions>
    And of the stream <known>
    When a client resumes that stream after event 5
    Then <result>

    Examples:
      | began                 | versions   | known                  | result                                           |
      | began at v1           | v2, v1, v2 | v1 is known            | the request was sent to a runner of v1           |
      | began at a version    | v2, v3, v2 | v1 is known            | it is refused with 503 and no time to retry      |
      | is known to no node   | v1, v1, v2 | nothing is known       | it is refused with 503 and no time to retry      |
      | is known to no node   | v1, v1, v1 | nothing is known       | the request was sent to a runner of v1           |
      | may be known to nodes | v1, v1, v1 | it is not sure yet     | it is refused with 503 and a time to retry       |
      | is known to no node   | v1, , v1   | nothing is known       | it is refused with 503 and a time to retry       |

  Scenario Outline: A stream of unknown origin on a route whose services have changed <when>
    # Guards against: a stream that goes on at a service that its route did not have when it began.
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions v1, v1, v1
    And of the stream nothing is known
    When the route moves to another service with a runner
    And <when>
    And a client resumes that stream after event 5
    Then <result>

    Examples:
      | when               | result                                      |
      | 0 seconds pass     | it is refused with 503 and no time to retry |
      | 590 seconds pass   | it is refused with 503 and no time to retry |
      | 610 seconds pass   | 1 attempt was made                          |

  Scenario: A stream of unknown origin on a route that was split before
    # Guards against: the same, where one of two services is left.
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions v1, v1, v1
    And of the stream nothing is known
    When the route is split with another service
    And the route has its first service only again
    And a client resumes that stream after event 5
    Then it is refused with 503 and no time to retry

  Scenario: A runner of an earlier version that is gone makes the version of an unknown stream ambiguous
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions v1, v2, v2
    And runner 1 is gone
    And of the stream nothing is known
    When a client resumes that stream after event 5
    Then it is refused with 503 and no time to retry

  Scenario: A stream does not continue at a runner that crashed, before its new start is known
    # Guards against: a record of the former incarnation that leads to a process of another version.
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions v1, v2, v2
    And of the stream v1 is known
    And runner 1 is found crashed
    When a client resumes that stream after event 5
    Then it is refused with 503 and a time to retry

  Scenario Outline: Where <what>, the origin of a stream is recorded <how>
    Given a relay with 3 runners and a resumable "stream" route
    And runners of versions <versions>
    When <change>
    And a client sends a request to the relay
    And the runner sends events 1 to 3
    Then the origin is recorded <how>

    Examples:
      | what                       | versions   | change                                  | how            |
      | the version is known       | v1, v1, v1 | 0 seconds pass                          | as implied     |
      | there are two versions     | v1, v1, v2 | 0 seconds pass                          | for all to ask |
      | the route has two services | v1, v1, v1 | the route is split with another service | for all to ask |

  Scenario: A request that is no stream goes on whatever number of an event it names
    Given a relay with 3 runners and a "safe" route
    And runners of versions v1, v2, v1
    And of the stream nothing is known
    When a client resumes that stream after event 5
    Then 1 attempt was made

  Scenario: The record of a stream is renewed while the stream runs
    Given a relay with 3 runners and a resumable "stream" route of 60 seconds
    And runners of versions v1, v1, v1
    When a client sends a request to the relay with 60 seconds to answer
    And the runner sends an event each half second for 45 seconds
    Then its origin was recorded 3 times as v1
