Feature: Requests that crashed no runner are not held

  All requests that are running at a runner when it crashes are suspects. A request that is completed
  at any runner is cleared, and a crash at which a held request was running is explained. The end of a
  connection alone is not a crash: the runner's address has to refuse connections.

  Scenario: The same body from many clients, in parallel with the fatal body
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And one body is sent every 0.2 s for 20 s, at random gateways
    When the fatal body is sent every 0.7 s for 15 s, at each gateway in turn
    Then only the fatal body was ever held
    And the frequent body was served, except when a runner crashed while running it

  Scenario: A rare body, sent each time together with the fatal body
    Given a fleet with one runner, which crashes when it runs the fatal body
    When the rare body is running at each of the first 3 crashes
    Then both bodies are on trial, as they cannot be told apart
    When a client sends the rare body
    Then the client is served

  Scenario: Runners that crash without a fatal request
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And other clients send 20 requests a second for 60 s
    And one body is sent every 0.2 s for 60 s, at random gateways
    When some runner crashes every 1 s for 60 s
    Then nothing was ever held

  Scenario: Machines that lose power, a third of them at a time
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And one body is sent every 0.2 s for 40 s, at random gateways
    When the runners of a zone lose power every 5 s for 30 s
    Then nothing was ever held

  Scenario: Runners that abort responses and keep running
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And runners abort responses at 30 of 100 events
    When one body is sent every 0.2 s for 30 s, at random gateways
    And 31 s go by
    Then nothing was ever held

  Scenario Outline: A body whose responses are aborted by runners that keep running<noticed>
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And <probes>
    And runners abort responses at 100 of 100 events
    When one body is sent every 0.2 s for 10 s, at random gateways
    And 11 s go by
    Then <outcome> was ever held

    Examples:
      | noticed                                | probes                                  | outcome   |
      |                                        | probes report what is there             | nothing   |
      | , if each lost connection were a crash | each probe reports a refused connection | something |

  Scenario: Runners that are stopped as planned
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And one body is sent every 0.2 s for 40 s, at random gateways
    When some runner announces its shutdown and exits 0.5 s later, every 1 s for 30 s
    Then nothing was ever held

  Scenario: A response at another gateway clears a suspect
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And the fatal body has crashed 2 runners
    When the fatal body is harmless now, and is answered at another gateway
    And it crashes 2 more runners
    Then nothing was ever held
