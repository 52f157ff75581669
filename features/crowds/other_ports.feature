Feature: Clients outside the limits end no process at its other ports

  Scenario Outline: Clients that <kind> at the <port> port
    Given a platform of small machines with 1 runners
    When <count> clients <kind> at the <port> port of <node>
    And the crowd has done what it came for
    Then the operator reads the configuration at every controller
    And an ordinary request is answered afterwards
    And every process lives within its machine's memory

    Examples:
      | count | kind                            | port      | node         |
      | 30    | announce a gigabyte and send it | control   | controller-1 |
      | 30    | stop a byte short of the length | control   | controller-1 |
      | 30    | send chunks without end         | readiness | gateway-1    |
      | 30    | stop a byte short of the length | metrics   | storage-1    |
