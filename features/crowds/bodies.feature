Feature: Clients whose bodies are over the limits end no process of small machines

  Scenario Outline: Clients that <kind>
    Given a platform of small machines with 2 runners
    When <count> clients <kind> at the gateway
    And the crowd has done what it came for
    And ordinary requests are answered beside it
    And the crowd leaves
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory

    Examples:
      | count | kind                                            |
      | 30    | announce a gigabyte and send it                 |
      | 30    | announce a gigabyte, send it and read nothing   |
      | 30    | send chunks without end                         |
      | 30    | stop a kilobyte short of the limit              |
      | 30    | stop a byte short of the length                 |
      | 30    | send whole bodies at the limit                  |
      | 30    | send tiny chunks                                |
      | 30    | send chunk extensions and trailers without end  |
      | 30    | send a body that the head does not announce     |

  Scenario: A body over the limit is refused at its head, before it is asked for
    Given a platform of small machines with 1 runners
    When 30 clients announce a gigabyte and wait to be asked for it at the gateway
    Then 30 of the clients were refused with 413
    And an ordinary request is answered afterwards
    And every process lives within its machine's memory

  Scenario: Whole bodies at the limit in calm, again and again
    Given a platform of small machines with 2 runners
    When 20 whole bodies at the limit are answered, one after the other
    Then every process lives within its machine's memory

  Scenario: Whole bodies at the limit that a second runner has to answer
    Given a platform of small machines with 2 runners
    When a runner refuses whole bodies at the limit, and another one answers them
    Then every process lives within its machine's memory

  Scenario: Whole bodies at the limit while no runner takes work
    Given a platform of small machines with 2 runners
    When no runner takes work
    And 30 clients send whole bodies at the limit at the gateway
    And the crowd has done what it came for
    And runners take work again
    And ordinary requests are answered beside it
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory

  Scenario: A crowd beside a gateway that is killed and starts again
    Given a platform of small machines with 2 runners
    When 30 clients send chunks without end at the gateway
    And the gateway's process is killed and starts again beside it
    And 30 clients stop a byte short of the length at the gateway
    And the crowd has done what it came for
    And ordinary requests are answered beside it
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory

  Scenario: A planned stop beside clients that hold their connections
    Given a platform of small machines with 2 runners
    When 30 clients stop a byte short of the length at the gateway
    And 30 clients send nothing at the gateway
    And the crowd has done what it came for
    And the gateway's process is told to stop
    Then the gateway's process ends by itself with code 0
