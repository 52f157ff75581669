Feature: A planned stop of a relaying gateway leaves no request without an answer

  Scenario Outline: A client's request is still at its runner when the grace time passes: <sent>
    # Guards against: a planned stop that cuts late requests with no answer.
    Given the nodes of examples/relaying run in one process with a grace time of 4 seconds
    And a runner that reads requests and never answers
    When a client of the gateway has sent <sent>
    And the process gets SIGTERM
    Then the client has a complete answer of status <status>, and the process ends with code 0

    Examples:
      | sent           | status |
      | all of it      | 504    |
      | half of a body | 503    |

  Scenario: A grace time that ends before all clients know of the stop
    # Guards against: a short grace time that ends over the requests under way.
    Given the nodes of examples/relaying run in one process with a grace time of 2 seconds
    And a runner that reads requests and never answers
    When a client of the gateway has sent all of it
    And the process gets SIGTERM
    Then the client has a complete answer of status 504, and the process ends with code 0

  Scenario: A second SIGTERM and a SIGHUP during a stop cut nothing
    Given the nodes of examples/relaying run in one process with a grace time of 2 seconds
    And a runner that reads requests and never answers
    When a client of the gateway has sent all of it
    And the process gets SIGTERM
    And the process gets SIGTERM and SIGHUP while it stops
    Then the client has a complete answer of status 504, and the process ends with code 0
