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
