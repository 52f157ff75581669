Feature: Requests that ended no runner are not held

  All that runs at a runner when it ends is suspect. What was answered whole anywhere has ended no
  runner, and an end at which a held request ran is explained. A connection that ends is no end of a
  runner: its address has to refuse connections.

  Scenario: The same question of many clients, beside the fatal body
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And one body comes each 0.2 s for 20 s, at any gateway
    When the fatal body comes each 0.7 s for 15 s, at one gateway after the other
    Then the fatal body alone was ever held
    And the body that came often was served but where a runner ended under it

  Scenario: A body that comes seldom, each time beside the fatal body
    Given a fleet with one runner, which ends when it runs the fatal body
    When the seldom body is there at each of the first 3 ends
    Then both bodies are held, since nothing tells them apart
    When 601 s go by
    And a client sends the seldom body
    Then the client is served

  Scenario: Runners that end by themselves
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And others send 20 requests a second for 60 s
    And one body comes each 0.2 s for 60 s, at any gateway
    When some runner ends each 1 s for 60 s
    Then nothing was ever held

  Scenario: Machines that lose power, a third of them at a time
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And one body comes each 0.2 s for 40 s, at any gateway
    When the runners of a zone lose power each 5 s for 30 s
    Then nothing was ever held

  Scenario: Runners that break answers off and live on
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And runners break 30 of 100 events off
    When one body comes each 0.2 s for 30 s, at any gateway
    And 31 s go by
    Then nothing was ever held

  Scenario Outline: A body whose answers each runner breaks off, and lives on<noticed>
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And <probes>
    And runners break 100 of 100 events off
    When one body comes each 0.2 s for 10 s, at any gateway
    And 11 s go by
    Then <outcome> was ever held

    Examples:
      | noticed                              | probes                                | outcome   |
      |                                      | probes tell what is there             | nothing   |
      | , if each lost connection were an end | each probe says that nothing is there | something |

  Scenario: Runners that are stopped as planned
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And one body comes each 0.2 s for 40 s, at any gateway
    When some runner says that it leaves and ends 0.5 s later, each 1 s for 30 s
    Then nothing was ever held

  Scenario: An answer at another gateway clears a suspect
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And the fatal body has ended 2 runners
    When the fatal body is harmless now, and is answered at another gateway
    And it ends runners again, 2 of them
    Then nothing was ever held
