Feature: Who may speak on a connection between processes

  Scenario Outline: A hello that does not fit is refused and nothing is delivered
    Given a listening wire node of fleet "harbour" named "replica-1"
    And a wire node of fleet "<fleet>" named "<name>" that takes "replica-1" for "<dialled>"
    When "<name>" calls "<dialled>" over the wire with "ping"
    Then the wire call ends with a fault "unavailable" whose outcome is "not_run"
    And the wire fault says "<reason>"
    And "replica-1" got no wire probe

    Examples:
      | name      | fleet    | dialled   | reason                       |
      | gateway-1 | laundry  | replica-1 | fleet is                     |
      | gateway-1 | harbour  | replica-2 | process name is 'replica-1'  |
      | replica-1 | harbour  | replica-2 | cannot be a peer's           |

  Scenario: A process of another protocol version is refused
    Given a listening wire node of fleet "harbour" named "replica-1"
    And a wire node of another protocol version named "gateway-1" and its peer "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with a fault "unavailable" whose outcome is "not_run"
    And the wire fault says "both ends must run the same version"
    And "replica-1" got no wire probe

  Scenario Outline: Bytes before the hello close the connection
    Given a listening wire node named "replica-1" with a hello timeout of 60 s
    When a raw wire peer sends <bytes> to "replica-1"
    Then the raw wire connection is closed by the other side
    And "replica-1" got no wire probe

    Examples:
      | bytes                         |
      | an envelope without a hello   |
      | a frame of 4 GiB announced    |
      | a frame of 5000 bytes         |
      | an empty frame                |
      | an HTTP request               |

  Scenario: A connection that says nothing is closed in time
    Given a listening wire node named "replica-1" with a hello timeout of 0.2 s
    When a raw wire peer sends nothing to "replica-1"
    Then the raw wire connection is closed by the other side

  Scenario: Garbage after the hello closes the connection
    Given a listening wire node of fleet "harbour" named "replica-1"
    When a raw wire peer greets "replica-1" and goes on with garbage
    Then the raw wire connection is closed by the other side
    And "replica-1" got no wire probe

  Scenario: Connections beyond the bound are closed at once
    Given a listening wire node named "replica-1" with at most 2 connections
    When 3 raw wire peers connect to "replica-1" and stay
    Then exactly 1 of the raw wire connections is closed by the other side

  Scenario: Mutual TLS carries calls
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    And a listening TLS wire node named "replica-1"
    And a TLS wire node named "gateway-1" and its peer "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with the reply "echo ping"
    And "replica-1" got the wire probe "ping" from "gateway-1"

  Scenario: With TLS on no plain connection is accepted
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    And a listening TLS wire node named "replica-1"
    When a raw wire peer greets "replica-1" and goes on with an envelope
    Then the raw wire connection is closed by the other side
    And "replica-1" got no wire probe

  Scenario: A certificate of another name is refused
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    And a listening TLS wire node named "replica-1"
    And a TLS wire node named "gateway-2" that carries the certificate of "gateway-1" to "replica-1"
    When "gateway-2" calls "replica-1" over the wire with "ping"
    Then the wire call ends with a fault "unavailable" whose outcome is "not_run"
    And the wire fault says "certificate is 'gateway-1''s"
    And "replica-1" got no wire probe

  Scenario: A certificate of another authority is refused
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    And a listening TLS wire node named "replica-1"
    And a TLS wire node of another authority named "gateway-1" and its peer "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with a fault "unavailable" whose outcome is "not_run"
    And "replica-1" got no wire probe

  Scenario: A process does not start with a certificate of another name
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    When a wire node "gateway-2" is made with the certificate of "gateway-1"
    Then making the wire node fails naming "gateway-1.pem"

  Scenario: Without TLS only loopback addresses are used
    When a plain wire node is made that knows a peer at "192.0.2.7"
    Then making the wire node fails naming "192.0.2.7"
    When a plain wire node listens on "0.0.0.0"
    Then listening fails naming "0.0.0.0"
