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
    When its clients meet runners that pause, drawn from each of the seeds 2 to 4, with the defect and without it
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
      | cuts whole answers that have neither a length nor chunks |

  Scenario: The soak catches a relay that drops a whole answer with a second one behind it
    Given a relay that drops a whole answer with a second one behind it
    When its clients meet runners whose framing is damaged, drawn from seed 1, with the defect and without it
    Then the check on this defect finds it, and finds nothing without it

  Scenario Outline: <course>: no answer is told as complete too early, <connections> connections
    # Guards against: streams and bodies told as complete though a part of them was missing.
    When a relay's clients on <connections> connections meet runners <faults>, drawn from each of the seeds 1 to 4
    Then <least> answers or more have met the fault "<fault>"
    And streams were served, and no guarantee was violated under these faults

    Examples: crashes
      | course  | faults               | fault       | connections | least |
      | Crashes | whose processes end  | crashed_run | 150         | 100   |
      | Crashes | whose processes end  | crashed_run | 15          | 5     |

    Examples: runs that go on with a stream
      | course     | faults                               | fault     | connections | least |
      | Empty runs | that go on with streams and bring nothing | empty_run | 150    | 50    |

    Examples: damaged framing
      | course          | faults                  | fault           | connections | least |
      | Damaged framing | whose framing is damaged | damaged_framing | 150        | 50    |

    Examples: statuses
      | course   | faults                     | fault          | connections | least |
      | Statuses | whose statuses mean nothing | invalid_status | 150        | 100   |

    Examples: all of them, beside lone closes
      | course     | faults                   | fault       | connections | least |
      | All faults | with all of these faults | crashed_run | 150         | 100   |

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
      | a stream with a length ends between two events    | its last events missing       |
      | an unframed stream ends between two events, and another runner is free | though another runner could be asked |
      | an unframed stream that may run once ends with its runner's process | its last events missing, behind a crash |
      | an unframed resumable stream ends with its runner's process | its last events missing, behind a crash |
      | a stream in chunks ends with its runner's process | its last events missing, behind a crash |
      | an unframed body ends with its runner's process   | not its answer                |
      | an unframed failure ends with its runner's process | 500 is not whole             |
      | a run that goes on with a stream brings nothing, in chunks | though another runner could be asked |
      | a run that goes on with a stream brings nothing, unframed | its last events missing |
      | one runner twice brings nothing when it goes on with a stream | though another runner could be asked |
      | a client that goes on with its stream gets nothing | no event, though another runner could be asked |
      | an answer has status 600                          | answered 600, which means nothing |
      | an answer has status 099                          | answered 99, which means nothing |
      | a whole unframed body was cut                     | cut though its runner's       |
      | a whole unframed stream was cut                   | cut though its runner's       |
      | a whole unframed stream was cut though another runner agrees | cut though the answers of its runners |
      | a whole unframed stream was cut before a crash of its runner | cut though its runner's |

  Scenario Outline: A history in which <what> is accepted
    Given a history of relaying in which <what>
    Then the judge of relaying finds nothing, and <unclear> streams whose end is unclear

    Examples:
      | what                                       | unclear |
      | all went well                              | 0       |
      | a complete failure was forwarded           | 0       |
      | an unframed stream ends between two events | 1       |
      | an unframed stream that may run once ends between two events | 1 |
      | an unframed stream ends between two events, and no attempt is left | 1 |
      | an unframed stream ends between two events, and no time is left | 1 |
      | an unframed stream ends between two events, and all other runners are down | 1 |
      | a run that goes on with a stream brings nothing, and no other runner is left | 1 |
      | two runs that go on with a stream bring nothing | 1  |
      | a whole unframed stream was cut at a crash of its runner | 0 |
      | a whole unframed answer was cut, and its runner lost another connection with it | 0 |
      | a whole unframed answer was cut, and its runner refused a connection behind it  | 0 |
      | an answer was cut that its runner never began to send                           | 0 |
