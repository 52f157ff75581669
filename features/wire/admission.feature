Feature: Admission of peers to connections between processes

  Scenario Outline: A mismatched hello is refused and nothing is delivered
    Given a listening wire node of fleet "harbour" named "replica-1"
    And a wire node of fleet "<fleet>" named "<name>" that dials "replica-1" as "<dialled>"
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

  Scenario: A connection without a hello is closed after the hello timeout
    Given a listening wire node named "replica-1" with a hello timeout of 0.2 s
    When a raw wire peer sends nothing to "replica-1"
    Then the raw wire connection is closed by the other side

  Scenario: Garbage after the hello closes the connection
    Given a listening wire node of fleet "harbour" named "replica-1"
    When a raw wire peer greets "replica-1" and then sends garbage
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

  Scenario: With TLS on, plaintext connections are refused
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    And a listening TLS wire node named "replica-1"
    When a raw wire peer greets "replica-1" and then sends an envelope
    Then the raw wire connection is closed by the other side
    And "replica-1" got no wire probe

  Scenario: A certificate of another name is refused
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    And a listening TLS wire node named "replica-1"
    And a TLS wire node named "gateway-2" that uses the certificate of "gateway-1" to "replica-1"
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

  Scenario Outline: A certificate that is <wrong> is refused with the step and the peer
    Given a wire authority with certificates by role for "replica-1" and "gateway-1"
    And a listening wire node "replica-1" that checks roles
    And a wire node "<name>" with a certificate that is <wrong> and its peer "replica-1"
    When "<name>" calls "replica-1" over the wire with "ping"
    Then the wire call ends with a fault "unavailable" whose outcome is "not_run"
    And the wire fault arose in "<step>" at "replica-1"
    And the wire fault says "<reason>"
    And "replica-1" got no wire probe
    And the log of "replica-1" has a refusal in "<listener_step>" at "<listener_peer>"

    Examples:
      | wrong                | name      | step               | reason                      | listener_step      | listener_peer |
      | of the wrong role    | gateway-2 | wire.connection    | gateway-2' is a gateway     | wire.hello         | gateway-2     |
      | without a role       | gateway-2 | wire.connection    | gateway-2' is a gateway     | wire.hello         | gateway-2     |
      | expired              | gateway-2 | wire.tls.handshake | expired                     | wire.tls.handshake | 127.0.0.1     |
      | of another authority | gateway-2 | wire.tls.handshake | alert decrypt error         | wire.tls.handshake | 127.0.0.1     |

  Scenario: A gateway certificate is refused from a process with a replica name
    Given a wire authority with certificates by role for "replica-1" and "gateway-1"
    And a listening wire node "replica-1" that checks roles
    And a wire node "replica-2" with a certificate that is of the wrong role and its peer "replica-1"
    When "replica-2" calls "replica-1" over the wire with "ping"
    Then the wire call ends with a fault "unavailable" whose outcome is "not_run"
    And the wire fault says "certificate is of role 'gateway', 'replica-2' is a replica"
    And "replica-1" got no wire probe

  Scenario: Certificates of the right roles carry calls
    Given a wire authority with certificates by role for "replica-1" and "gateway-1"
    And a listening wire node "replica-1" that checks roles
    And a wire node "gateway-1" with a certificate that is right and its peer "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with the reply "echo ping"

  Scenario: A process does not start with a certificate of another role
    Given a wire authority with certificates by role for "replica-1" and "gateway-1"
    When a wire node "replica-2" that checks roles is made with a certificate of the wrong role
    Then making the wire node fails naming "is of role 'gateway', 'replica-2' is a replica"

  Scenario: Running without TLS is logged
    When the log is read while a plain wire node "replica-1" is made
    Then the log has the line "TLS is off: only loopback addresses are used" of "replica-1"

  Scenario: A process does not start with a certificate of another name
    Given a wire authority with certificates for "replica-1" and "gateway-1"
    When a wire node "gateway-2" is made with the certificate of "gateway-1"
    Then making the wire node fails naming "gateway-1.pem"

  Scenario: Without TLS only loopback addresses are used
    When a plain wire node is made that knows a peer at "192.0.2.7"
    Then making the wire node fails naming "192.0.2.7"
    When a plain wire node listens on "0.0.0.0"
    Then listening fails naming "0.0.0.0"
