Feature: A relaying fleet is operated and used through the native API

  Scenario: The example's nodes in one process serve requests and jobs, and end on SIGTERM
    Given the nodes of examples/relaying run in one process
    When the example's routing table is put at a controller
    Then a table without services is refused with 400 and the fault names the place
    And the routing table reads back byte by byte
    When a runner reports through the native API that it is ready
    Then a request is relayed to it and its answer comes back
    And a job of 2 items is accepted, and its results can be read
    And the metrics page of a gateway counts the request
    And no request is held, and releasing an invalid fingerprint or one that is not held fails
    When the runner deregisters
    Then a request is refused with 503 and a time to retry after
    And the process ends on SIGTERM with code 0

  Scenario Outline: An invalid settings file is reported before anything starts
    When "rainsail settings check" reads the gateway's example with <change>
    Then it ends with code <code> and says "<words>"

    Examples:
      | change           | code | words                       |
      | no change        | 0    | node gateway-1: gateway     |
      | no client port   | 2    | listen.clients              |
      | an unknown role  | 2    | node.role                   |
      | a broken line    | 2    | node.toml                   |
