Feature: What a gateway holds of runners' answers is bounded, and counts with what clients hold

  Scenario: An answer in very small pieces is buffered in about as many bytes as it has
    Given a relay with 3 runners and a "safe" route
    When a client sends a request to the relay
    And the runner sends 200000 bytes of an answer in pieces of 2
    Then at most 2 bytes are held for each byte of it
    When the runner ends its answer
    Then the client has 200000 bytes and the end
