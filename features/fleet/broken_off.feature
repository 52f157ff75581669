Feature: A client of a relaying fleet can always tell an aborted answer from a complete one

  Scenario Outline: The gateway ends in the middle of an answer
    Given the nodes of examples/relaying run in one process with a grace time of 3 seconds
    And a runner that begins an answer <framing> and says no more
    When a client of HTTP <version> asks the gateway and the first bytes have come
    And the gateway's process <ends>
    Then the client of the gateway finds its answer broken

    Examples:
      | version | framing          | ends                                 |
      | 1.0     | without a length | is killed                            |
      | 1.0     | without a length | is stopped and the grace time passes |
      | 1.0     | in chunks        | is killed                            |
      | 1.1     | without a length | is killed                            |
      | 1.1     | without a length | is stopped and the grace time passes |

  Scenario Outline: The runner breaks its answer off
    Given the nodes of examples/relaying run in one process with a grace time of 3 seconds
    And a runner that begins an answer <framing> and says no more
    When a client of HTTP 1.0 asks the gateway and the first bytes have come
    And the runner <breaks> its connection
    Then the client of the gateway finds its answer broken

    Examples:
      | framing          | breaks |
      | without a length | resets |
      | in chunks        | closes |
      | with a length    | closes |
