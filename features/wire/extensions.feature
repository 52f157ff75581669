Feature: Extensions of the protocol are used only between processes that know them

  Scenario: Both ends of a connection learn the other's extensions, and know them while it is away
    Given a wire node "replica-1" that listens
    And a wire node "gateway-1" that knows "replica-1"
    When "gateway-1" sends "news" one way over the wire to "replica-1"
    Then "gateway-1" and "replica-1" know each other's extensions
    When the wire node "gateway-1" is stopped for good
    Then "replica-1" still knows the extensions of "gateway-1"
    Given a wire node "gateway-1" of an earlier version that knows "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with the reply "echo ping"
    And "replica-1" no longer knows the extensions of "gateway-1"

  Scenario: A peer that announces nothing is taken to know none, and gets on as before
    Given a wire node "replica-1" that listens
    And a wire node "gateway-1" of an earlier version that knows "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with the reply "echo ping"
    And "replica-1" no longer knows the extensions of "gateway-1"
