Feature: Requests that outlast a planned stop's grace time get a complete answer

  Guards against connections that the end of the process closes while their requests are still at a
  handler: a caller that gets no answer can't tell whether its request has run.

  Scenario: A request whose handler has not answered by the end of the grace time
    # Guards against: a planned stop that cuts late requests with no answer.
    Given a server with a grace time of 8 s whose handler never answers
    When a caller sends a request, and SIGTERM comes
    And the grace time passes
    Then the caller has a complete answer of status 504 before the process ends
    And the handler is told that nobody waits for its answer

  Scenario Outline: A request that is complete at the handler <when> s after SIGTERM
    # Guards against: a planned stop that cuts late requests with no answer.
    Given a server with a grace time of 8 s whose handler never answers
    When SIGTERM comes, and the body of a caller's request ends <when> s after it
    And the grace time passes
    Then the caller has a complete answer of status <status> before the process ends

    Examples:
      | when | status |
      | 0.3  | 504    |
      | 5.4  | 504    |
      | 7.1  | 504    |
      | 7.4  | 503    |

  Scenario: An answer that has begun does not look complete
    Given a server with a grace time of 8 s whose handler begins an answer and says no more
    When a caller sends a request, and SIGTERM comes
    And the grace time passes
    Then the caller's answer is broken off

  Scenario: A second request that was sent behind the first is answered too
    # Guards against: a connection closed behind an answer although the next request has been read.
    Given a server with a grace time of 8 s whose handler never answers
    When a caller sends two requests at once, and SIGTERM comes
    And the handler answers the first request
    Then the caller has a complete answer of status 200, and its connection stays open
    And the handler has the second request
    When the grace time passes
    Then the caller has a complete answer of status 504 before the process ends

  Scenario: A second request of which a half was sent behind the first is refused
    Given a server with a grace time of 8 s whose handler never answers
    When a caller sends one and a half requests at once, and SIGTERM comes
    And the handler answers the first request
    Then the caller has a complete answer of status 200, and its connection stays open
    When the grace time passes
    Then the caller has a complete answer of status 503 before the process ends

  Scenario: A request whose body arrives is refused as soon as it is known to be lost
    # Guards against: a body that is read on to its end although its request is known to be lost.
    Given a server with a grace time of 8 s whose handler never answers
    When SIGTERM comes while the bodies of requests on "/lost" and "/kept" arrive
    And requests on "/lost" are known to be lost
    Then the caller of "/lost" has a complete answer of status 503 before it has sent its body
    And the caller of "/kept" has none
