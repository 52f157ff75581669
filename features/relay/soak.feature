Feature: Whatever runners do, a client's answer is complete or recognisably broken

  Scenario Outline: Runners that refuse, fail, disconnect, stop sending and corrupt events, seed <seed>
    When clients of a relay meet such runners, drawn from seed <seed>
    Then no guarantee of the relay was violated
    And streams were served, resumed at other runners, and met failures there

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: Runners that also pause for as long as a gateway waits, and go on, seed <seed>
    When clients of a relay meet runners that also pause, drawn from seed <seed>
    Then no guarantee of the relay was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: The soak catches a relay that gives a silent runner up before another one takes the request
    Given a relay that gives a silent runner up before another one takes the request
    When its clients meet runners that pause, drawn from each of the seeds 2 to 5, with the defect and without it
    Then the check on this defect finds it, and finds nothing without it

  Scenario: Runners that also lose or corrupt the first event, or send none, seeds 1 to 4
    When clients of a relay meet runners that also corrupt beginnings, drawn from each of the seeds 1 to 4
    Then no guarantee of any of these relays was violated

  Scenario: A gateway whose very first streams lack their beginning, seeds 61 to 62
    # Guards against: the first streams after a start completed without their beginning.
    When clients of a relay meet runners that also corrupt beginnings, drawn from each of the seeds 61 to 62
    Then no guarantee of any of these relays was violated

  Scenario: A gateway whose very first streams may run once only and lack their beginning, seed 1073
    # Guards against: such a stream completed before other streams could show what it lacks.
    When clients of a relay meet runners that also corrupt beginnings, drawn from each of the seeds 1073 to 1073
    Then no guarantee of any of these relays was violated

  Scenario: A stream that lacks its beginning and is the only one while its client waits, seed 1406
    # Guards against: such a stream completed although other routes of its service show the loss.
    When clients of a relay meet runners that also corrupt beginnings, drawn from each of the seeds 1406 to 1406
    Then no guarantee of any of these relays was violated

  Scenario Outline: A stream whose loss only other routes can show, <connections> connections, seed <seed>
    When clients on <connections> connections meet runners that also corrupt beginnings, drawn from seed <seed>
    Then no guarantee of the relay was violated

    Examples:
      | connections | seed |
      | 8           | 5583 |
      | 15          | 5296 |
      | 15          | 5588 |
      | 30          | 5113 |
      | 30          | 5234 |
      | 30          | 5404 |

  Scenario: A stream that lacks its beginning while nothing of its service is known, 8 connections, seed 5330
    # Red: no other stream of the service begins before its end or while that is held.
    When clients on 8 connections meet runners that also corrupt beginnings, drawn from seed 5330
    Then no guarantee of the relay was violated

  Scenario: A stream that lacks its beginning on a route of which half of six streams are damaged, seed 5004
    # Red: the route counts as one without a common first number.
    When clients on 15 connections meet runners that also corrupt beginnings, drawn from seed 5004
    Then no guarantee of the relay was violated

  Scenario Outline: The soak catches a relay that <defect>
    Given a relay that <defect>
    When its clients meet such runners, drawn from seed 1, with the defect and without it
    Then the check on this defect finds it, and finds nothing without it

    Examples:
      | defect                                |
      | appends a failure to a resumed stream |
      | ends half an event as complete        |
      | lets a gap through                    |
      | answers 503 after a run               |
      | counts no attempts                    |
      | states the whole deadline at each attempt |

  Scenario Outline: A history in which <what> is reported as a violation
    Given a history of relaying in which <what>
    Then the judge of relaying finds "<words>"

    Examples:
      | what                                              | words                         |
      | a request was never answered                      | never ended                   |
      | a request was cut after its deadline              | too late                      |
      | an unsafe request ran at two runners              | ran 2 times                   |
      | a request that had run was answered 503           | answered 503 after a run      |
      | a request ran at more runners than its route allows | it ran at 5 runners         |
      | a runner was told of more time than was left      | 4.0 s of 3.40 are left        |
      | a runner was told of no deadline                  | told of no deadline           |
      | bytes came after an answer                        | bytes after its end           |
      | a body lacks its end                              | not its answer                |
      | a whole answer was cut                            | cut though its runner's       |
      | a whole unframed answer was cut                   | cut though its runner's       |
      | a whole unframed answer was cut, and its runner lost others at other times | cut though its runner's |
      | a whole unframed answer was cut, and another runner lost one with it | cut though its runner's |
      | a whole answer in chunks was cut, and its runner lost another connection with it | cut though its runner's |
      | a failure lacks its end                           | 500 is not whole              |
      | a safe request failed though its run was whole    | it failed though              |
      | an event came twice                               | events missing or repeated    |
      | a stream in chunks ends between two events        | its last events missing       |
      | an unframed stream ends before its runner's close | its last events missing       |
      | an unframed stream ends without any event         | no event                      |

  Scenario Outline: A history in which <what> is accepted
    Given a history of relaying in which <what>
    Then the judge of relaying finds nothing, and <unclear> streams whose end is unclear

    Examples:
      | what                                       | unclear |
      | all went well                              | 0       |
      | a complete failure was forwarded           | 0       |
      | an unframed stream ends between two events | 1       |
      | a whole unframed answer was cut, and its runner lost another connection with it | 0 |
      | a whole unframed answer was cut, and its runner refused a connection behind it  | 0 |
      | an answer was cut that its runner never began to send                           | 0 |
