Feature: A client that resumes its stream gets the next event first, and each event once

  Scenario: The first runner resumes after the client's last event
    Given a relay with 3 runners and a resumable "stream" route
    When a client resumes its stream after event 5
    Then the first runner is asked to resume after event 5
    When the runner sends events 6 to 7 in chunks
    And the runner ends its stream
    Then the client has the whole stream of events 6 to 7

  Scenario: Events that the client has already are not sent to it again
    Given a relay with 3 runners and a resumable "stream" route
    When a client resumes its stream after event 5
    And the runner sends events 4 to 7 in chunks
    And the runner ends its stream
    Then the client has the whole stream of events 6 to 7

  Scenario: A run that begins too late is dropped, and the next one resumes after the client's event
    Given a relay with 3 runners and a resumable "stream" route
    When a client resumes its stream after event 5
    And the runner sends events 7 to 8
    Then the last attempt asks to resume after event 5
    When the runner sends events 6 to 8
    And the runner ends its stream
    Then the client has the whole stream of events 6 to 8

  Scenario: A run that breaks before its first event is repeated from the same event
    Given a relay with 3 runners and a resumable "stream" route
    When a client resumes its stream after event 5
    And the runner sends half of event 6
    And the runner's connection breaks
    Then the last attempt asks to resume after event 5

  Scenario: Streams with random interruptions of runners and clients have each event once, from matching runs
    When 300 clients read streams of 12 events that break at random, and resume them
    Then every stream was complete, and many were assembled from several runs

  Scenario Outline: The random clients detect a defect: <defect>
    Given a relay in which <defect>
    When 300 clients read streams of 12 events that break at random, and resume them
    Then some stream was incomplete

    Examples:
      | defect                                          |
      | an event is forwarded whatever came before      |
      | runs are requested from the start of the stream |
