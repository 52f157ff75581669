Feature: Envelopes between processes over TCP

  Scenario: A call is answered over the connection that the caller opened
    Given a wire node "replica-1" that listens
    And a wire node "gateway-1" that knows "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with the reply "echo ping"
    And "replica-1" got the wire probe "ping" from "gateway-1"

  Scenario: A process answers and sends to a peer whose address it does not know
    Given a wire node "replica-1" that listens
    And a wire node "gateway-1" that knows "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with the reply "echo ping"
    When "replica-1" sends "news" one way over the wire to "gateway-1"
    Then "gateway-1" got the wire probe "news" from "replica-1"

  Scenario: A send to an unknown peer is refused
    Given a wire node "replica-1" that listens
    When "replica-1" sends "news" one way over the wire to "gateway-9"
    Then the wire send is refused as "unavailable" and not run

  Scenario: A call to an unreachable peer ends as not run
    Given a wire node "gateway-1" that knows "replica-1" at a closed port
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with a fault "unavailable" whose outcome is "not_run"

  Scenario: The loss of a connection during a call ends it with an unknown outcome
    Given a wire node "replica-1" that listens and never answers
    And a wire node "gateway-1" that knows "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    And "replica-1" has got the wire probe and is stopped
    Then the wire call ends with a fault "unavailable" whose outcome is "unknown"

  Scenario: Messages queue in order while the connection is being opened
    Given a wire node "replica-1" that listens
    And a wire node "gateway-1" that knows "replica-1"
    When "gateway-1" sends 200 numbered probes over the wire to "replica-1" in one turn
    Then "replica-1" got the 200 numbered wire probes in order

  Scenario: A process reconnects to a restarted peer
    Given a wire node "replica-1" that listens
    And a wire node "gateway-1" that knows "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "one"
    Then the wire call ends with the reply "echo one"
    When the wire node "replica-1" is stopped and started on the same port
    Then "gateway-1" reaches "replica-1" over the wire again

  Scenario: A process can send to itself
    Given a wire node "replica-1" that listens
    When "replica-1" calls "replica-1" over the wire with "self"
    Then the wire call ends with the reply "echo self"
