Feature: A stopping gateway answers every request that it has read

  Scenario Outline: A <kind> request is still at a runner when the grace time is over
    # Guards against: a planned stop that cuts late requests with no answer.
    Given a gateway with runners that is about to stop
    When a client sends a "<kind>" request, which no runner has answered yet
    And the grace time of the gateway is over
    Then the client has a complete answer of status 504, which promises nothing
    And the runner's work on it is cancelled
    And the log and a metric tell that the stop has ended the "<kind>" request

    Examples:
      | kind      |
      | unsafe    |
      | safe      |
      | stream    |
      | resumable |

  Scenario: A request that waits for the confirmation of its route when the grace time is over
    Given a gateway with runners that is about to stop
    When a client sends a request on an unknown path
    And the grace time of the gateway is over
    Then the client has a complete answer of status 503, and may go to another gateway at once

  Scenario: A stream that has begun is broken off, so that its client resumes it elsewhere
    Given a gateway with runners that is about to stop
    When a client sends a "resumable" request, which no runner has answered yet
    And the runner has sent 2 events
    And the grace time of the gateway is over
    Then the client's stream is broken off after event 2
    And the runner's work on it is cancelled

  Scenario Outline: A <kind> request of 2.2 s that is complete <at> s after SIGTERM is <done>
    # Guards against: a request that can't end in time being passed on to a runner.
    Given a gateway with runners that is about to stop
    And its latest "<kind>" requests took 2.2 s
    When SIGTERM comes, and a client's "<kind>" request is complete <at> s after it
    Then the request is <done>

    Examples:
      | kind      | at  | done                   |
      | unsafe    | 0.3 | sent to a runner       |
      | unsafe    | 4.9 | sent to a runner       |
      | unsafe    | 5.1 | refused without a send |
      | unsafe    | 7.1 | refused without a send |
      | safe      | 4.9 | sent to a runner       |
      | safe      | 5.1 | refused without a send |
      | resumable | 4.9 | sent to a runner       |
      | resumable | 5.1 | refused without a send |

  Scenario Outline: The longest run time counts where a cut would leave the outcome unknown: <kind>
    # A request that may be repeated loses time at most, so the usual run time counts for it.
    Given a gateway with runners that is about to stop
    And its latest "<kind>" requests took 1 s
    And its latest "<kind>" requests took 1 s
    And its latest "<kind>" requests took 6 s
    When SIGTERM comes, and a client's "<kind>" request is complete 2 s after it
    Then the request is <done>

    Examples:
      | kind      | done                   |
      | unsafe    | refused without a send |
      | stream    | refused without a send |
      | safe      | sent to a runner       |
      | resumable | sent to a runner       |

  Scenario Outline: Without a run time a request is sent if its deadline of <deadline> s fits
    Given a gateway with runners that is about to stop
    When SIGTERM comes, and a client's "unsafe" request with a deadline of <deadline> s is complete 2 s after it
    Then the request is <done>

    Examples:
      | deadline | done                   |
      | 5        | sent to a runner       |
      | 6        | refused without a send |

  Scenario: A request that a runner turns away late is refused, not sent again
    Given a gateway with runners that is about to stop
    And its latest "unsafe" requests took 2.2 s
    When SIGTERM comes, and a client's "unsafe" request is complete 4.9 s after it
    And its runner turns it away 0.3 s later
    Then the client has a complete answer of status 503, and may go to another gateway at once

  Scenario: A request that has broken late promises nothing, and is not sent again
    Given a gateway with runners that is about to stop
    And its latest "safe" requests took 2.2 s
    When SIGTERM comes, and a client's "safe" request is complete 4.9 s after it
    And its runner's connection ends 0.3 s later
    Then the client has a complete answer of status 502, which promises nothing

  Scenario: A request at a silent runner stays there when another runner could not end in time
    Given a gateway with runners that is about to stop
    And its latest "safe" requests took 2.2 s
    When SIGTERM comes, and a client's "safe" request is complete 4.9 s after it
    And its runner is silent for as long as the grace time lasts
    And the grace time of the gateway is over
    Then the request was sent to one runner only
    And the client has a complete answer of status 504, which promises nothing

  Scenario Outline: A <kind> request whose body still arrives <at> s after SIGTERM is <done>
    # Guards against: a body that is read on to its end although its request is known to be lost.
    Given a gateway with runners that is about to stop
    And its latest "<kind>" requests took 2.2 s
    When SIGTERM comes, and the body of a client's "<kind>" request still arrives <at> s after it
    Then the request is <done>

    Examples:
      | kind      | at  | done    |
      | unsafe    | 4.9 | read on |
      | unsafe    | 5.1 | refused |
      | safe      | 4.9 | read on |
      | safe      | 5.1 | refused |

  Scenario: The body of a job is read on for as long as the stop lasts
    # A job may be handed in again, and is accepted soon after its body is complete.
    Given a gateway with runners that is about to stop
    When SIGTERM comes, and the body of a client's "batch" request still arrives 7.1 s after it
    Then the request is read on

  Scenario Outline: A client that is refused <at> s after SIGTERM doesn't meet the gateway again
    # Guards against: a client that retries only once, at the gateway that has just refused it.
    Given a gateway with runners that is about to stop
    And its latest "unsafe" requests took 7 s
    When SIGTERM comes, and a client's "unsafe" request is complete <at> s after it
    Then the request is refused, and its client may retry after "<after>" s

    Examples:
      | at  | after |
      | 0.3 | 2     |
      | 1.8 | 0.5   |
      | 2.5 | 0     |

  Scenario Outline: A resumable stream that is complete <at> s after SIGTERM, where one of three took 6 s, is <done>
    # Guards against: a stream that begins late at a stopping gateway, only to be cut there.
    Given a gateway with runners that is about to stop
    And its latest "resumable" requests took 2 s
    And its latest "resumable" requests took 2.6 s
    And its latest "resumable" requests took 6 s
    When SIGTERM comes, and a client's "resumable" request is complete <at> s after it
    Then the request is <done>

    Examples:
      | at  | done                   |
      | 2   | sent to a runner       |
      | 2.5 | refused without a send |
      | 4.5 | refused without a send |
