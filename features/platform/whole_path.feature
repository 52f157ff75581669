Feature: The adapter's processes serve requests, streams and jobs end to end on loopback

  Scenario: From an empty disk to served requests, a stream and a job, through losses
    Given the platform's stand-in with 3 controllers, 3 storage nodes, 2 gateways and 2 runners
    Then an invalid configuration is refused with 400, and a read is unavailable before the first
    And a client that comes too early is refused with a time to retry after, and the log says why
    When the operator's configuration is taken
    Then both gateways are ready
    And a safe request is answered with the runner's bytes and its signature
    And an unknown path is answered 404
    And a request with an unknown key is answered 401 and runs nowhere
    And a stream of 5 events arrives whole
    And a stream that breaks off after 2 events arrives whole from the other runner
    And what a runner refuses is served by the other one
    And the configuration reads back as it was sent
    When a job of 3 items is handed in at one gateway
    Then the job's 3 results are read at the other one
    And the job submitted again is accepted again and nothing runs twice
    And no runner saw a key, and each request and item came in its tenant's name
    When every controller and every storage node is killed and starts again
    Then requests are served meanwhile
    And the configuration reads back as it was sent
    And the job's 3 results read the same
    And the nodes' metrics count what was served, listed and led
    When the operator drains the zone of the runner that requests go to
    Then all requests go to the other runner, and the nodes' metrics and logs say why
    When the operator ends the drain
    Then that runner gets requests again
    And an order on an unknown zone is answered 404
    When a runner drains
    Then its report is acknowledged and it gets nothing more
    When a gateway gets SIGTERM with a slow stream under way
    Then the stream arrives whole and the gateway ends by itself with code 0
    And the course of the broken stream can be followed in the logs

  Scenario: An unreadable settings file ends the process with code 2
    When the adapter's program is started on a settings file cut short
    Then it ends with code 2 and one JSON line naming the step "settings.node"
