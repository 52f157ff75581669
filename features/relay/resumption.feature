Feature: A client that takes its stream up again gets the next event first, and each event once

  Scenario: The next event comes first, from the first runner on
    Given a relay with 3 runners and a resumable "stream" route
    When a client takes its stream up again behind event 5
    Then the first runner is asked to go on behind event 5
    When the runner sends events 6 to 7
    And the runner ends its stream
    Then the client has the whole stream of events 6 to 7

  Scenario: What the client has already is not sent to it again
    Given a relay with 3 runners and a resumable "stream" route
    When a client takes its stream up again behind event 5
    And the runner sends events 4 to 7
    And the runner ends its stream
    Then the client has the whole stream of events 6 to 7

  Scenario: A run that begins too far on is left, and the next one goes on behind the client's event
    Given a relay with 3 runners and a resumable "stream" route
    When a client takes its stream up again behind event 5
    And the runner sends events 7 to 8
    Then the last sending asks to go on behind event 5
    When the runner sends events 6 to 8
    And the runner ends its stream
    Then the client has the whole stream of events 6 to 8

  Scenario: A run that breaks before its first event is asked for again from the same place
    Given a relay with 3 runners and a resumable "stream" route
    When a client takes its stream up again behind event 5
    And the runner sends half of event 6
    And the runner's connection breaks
    Then the last sending asks to go on behind event 5

  Scenario: Streams under random breaks of runners and clients have each event once, of runs that fit
    When 300 clients read streams of 12 events that break at random, and take them up again
    Then every stream was whole, and many were put together from several runs

  Scenario Outline: The random clients see it when <defect>
    Given a relay in which <defect>
    When 300 clients read streams of 12 events that break at random, and take them up again
    Then some stream was not whole

    Examples:
      | defect                                          |
      | an event is passed on whatever came before      |
      | runs are asked for from the start of the stream |
