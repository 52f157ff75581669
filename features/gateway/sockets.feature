Feature: Back-pressure propagates from a caller's socket to the engine and ends when the caller reads

  Scenario: A caller that reads nothing stops the reading from the engine and gets the complete answer later
    Given a gateway on loopback sockets in front of a fast engine
    When a socket caller asks for a long streamed answer and reads nothing of it
    Then the gateway on sockets stops reading from the engine
    And it holds less than 256 KiB for the socket caller
    When the socket caller reads on to the end
    Then the socket caller has the complete answer

  Scenario: A caller that closes its socket ends its request at the engine
    Given a gateway on loopback sockets in front of a fast engine
    When a socket caller asks for a long streamed answer and reads nothing of it
    And the gateway on sockets stops reading from the engine
    And the socket caller closes its connection
    Then the gateway on sockets has no request in progress and no attempt at a runner
