Feature: The adapter translates, and rejects whatever it cannot parse completely

  Scenario: A complete configuration becomes a routing table
    Given the platform's example configuration
    Then the table has version 7, 2 routes and 2 services
    And route 1 is a resumable stream of 2 attempts, 5 seconds and a target of 0.5 seconds
    And route 2 is split 90 to 10 and is not repeatable
    And the limits are 16384 and 4194304 bytes, 3 and 15 seconds

  Scenario Outline: An invalid configuration is refused as a whole
    Given the platform's example configuration
    When the configuration comes <spoiled>
    Then it is refused and the fault names "<word>"

    Examples:
      | spoiled                         | word            |
      | cut short                       | the body is not JSON |
      | naming an unknown service       | unknown service |
      | putting two routes in one place | shares host     |
      | without any weight              | weights         |
      | with a time-out of 0            | timeoutMs: expected a number above 0, got 0 |
      | without its routes              | routes: expected a list, got nothing |
      | with its services as a number   | services: expected a list, got a number |
      | with a text as its version      | version: expected a whole number above 0, got a string |
      | with a service without a name   | services[1].name: expected a string, got nothing |
      | with a weight that is no number | split[1].weight: expected a number, got a string |
      | with a tenant's key as a number | tenants[0].apiKeys: expected a list of strings, got a list |
      | no table but a list             | the body: expected an object, got a list |

  Scenario Outline: The error for a large configuration names the invalid route
    Given the platform's example configuration with 2000 more routes
    When route 1500 of it comes <spoiled>
    Then it is refused and the fault names "route 1500 (<name>): the route<problem>"

    Examples:
      | spoiled              | name      | problem                                         |
      | without its host     | more-1498 | .host: expected a string, got nothing           |
      | with a time-out of 0 | more-1498 | .timeoutMs: expected a number above 0, got 0    |
      | as a bare text       | None      | : expected an object, got a string              |

  Scenario: Each route of a large configuration is found by its own host and path
    Given the platform's example configuration with 2000 more routes
    Then each of its routes is found by its own host and path
    And a path that none of them has is of no route

  Scenario: The facts of a client's request are read from its headers
    Given a client's request with the platform's headers
    Then its facts are id "9c41", host "h.example", path "/x/y", 8 seconds and 3 prompt parts

  Scenario: A request to a runner carries the runner's id and the remaining time
    Given a client's request with the platform's headers
    When the request is translated for runner "i-1" with 2.5 seconds left behind event 4
    Then the runner gets these fields
      | field           | value     |
      | Host            | h.example |
      | Request-Id      | 9c41      |
      | Deadline-Ms     | 2500      |
      | Expect-Instance | i-1       |
      | Last-Event-Id   | 4         |
      | Content-Length  | 4         |
      | X-Own           | kept      |
    And no field "Connection" and no field "Keep-Alive"

  Scenario Outline: The head of a runner's answer is classified
    Given an answer <status> with the fields "<fields>"
    Then it is <verdict> for request "9c41"

    Examples:
      | status | fields                       | verdict                |
      | 200    | Request-Id: 9c41             | an answer              |
      | 200    | Request-Id: other            | an answer to another   |
      | 200    |                              | an answer to another   |
      | 503    | Not-Run: 1                   | not run                |
      | 421    | Instance-Id: i-2             | not run                |
      | 400    |                              | not run                |
      | 400    | Request-Id: 9c41             | an answer              |
      | 503    | Request-Id: 9c41             | an unkept promise      |

  Scenario Outline: An unreadable heartbeat gets 400 and changes nothing
    When a controller gets the heartbeat '<body>'
    Then the call is answered 400
    And the answer's error has "<problem>"
    And the controller got no report

    Examples:
      | body                                                              | problem                                   |
      | {"service":"s","address":"10.0.0.1:1","state":"ready"}            | zone: expected a string, got nothing      |
      | {"service":7,"address":"10.0.0.1:1","state":"ready","sequence":1} | zone: expected a string, got nothing      |
      | {"service":"s"                                                    | the body is not JSON                      |
      | []                                                                | the body: expected an object, got a list  |

  Scenario Outline: The error for a heartbeat uses the platform's field names: <field> is <value>
    When a controller gets a runner's heartbeat in which <field> is <value>
    Then the call is answered 400
    And the answer's error has "<problem>"

    Examples:
      | field      | value   | problem                                           |
      | service    | 7       | service: Input should be a valid string           |
      | state      | "idle"  | state: expected ready or draining, got another state |
      | slots      | missing | slots: expected a whole number, got nothing       |
      | coldLeftMs | -5      | coldLeftMs: Input should be greater than or equal to 0 |
      | coldLeftMs | "0"     | coldLeftMs: Input should be a valid number        |
      | born       | null    | born: Input should be a valid integer             |

  Scenario Outline: A heartbeat with an invalid field gets 400 and changes nothing: <field> is <value>
    When a controller gets a runner's heartbeat in which <field> is <value>
    Then the call is answered 400
    And the controller got no report

    Examples:
      | field      | value              |
      | service    | missing            |
      | service    | ""                 |
      | service    | ["s"]              |
      | service    | "\ud800"           |
      | address    | missing            |
      | address    | "10.0.0.1"         |
      | address    | "10.0.0.1:0"       |
      | address    | "10.0.0.1:65536"   |
      | address    | "10.0.0.1:http"    |
      | address    | "a.example:80"     |
      | address    | 7                  |
      | zone       | missing            |
      | zone       | 3                  |
      | version    | missing            |
      | version    | 3                  |
      | version    | null               |
      | slots      | missing            |
      | slots      | -4                 |
      | slots      | 0                  |
      | slots      | "8"                |
      | slots      | 2.5                |
      | slots      | true               |
      | state      | missing            |
      | state      | "idle"             |
      | state      | null               |
      | coldLeftMs | missing            |
      | coldLeftMs | -5                 |
      | coldLeftMs | NaN                |
      | coldLeftMs | Infinity           |
      | coldLeftMs | "0"                |
      | coldLeftMs | true               |
      | sequence   | missing            |
      | sequence   | true               |
      | sequence   | "7"                |
      | sequence   | 1.9                |
      | sequence   | -1                 |
      | sequence   | 1e999              |
      | sequence   | 99999999999999999999 |
      | born       | "1796254995480"    |
      | born       | 1.5                |
      | born       | true               |
      | born       | null               |
      | born       | -1                 |

  Scenario Outline: A heartbeat of <kind> gets 400 and changes nothing
    When a controller gets a heartbeat of <kind>
    Then the call is answered 400
    And the controller got no report

    Examples:
      | kind                        |
      | nothing                     |
      | bytes that are no text      |
      | 100000 opening brackets     |
      | a number of 5000 digits     |
      | a text                      |

  Scenario: A runner's heartbeats and its deregistration carry its start time
    When a controller gets a runner's heartbeat in which born is 1796254995480
    Then the call is answered 200
    And the controller got a report of a runner born at 1796254995480
    And the report came with the runner's software version
    When that runner deregisters with its start time in the body
    Then the call is answered 200
    And the controller got a deregistration of the incarnation born at 1796254995480
    When that runner deregisters with an empty body
    Then the controller got a deregistration of the known incarnation
    When that runner deregisters with its start time written as the string "1796254995480"
    Then the call is answered 400

  Scenario Outline: An unreadable job gets 400 with the name of the invalid field, and is not submitted
    When a gateway gets the job '<body>'
    Then the call is answered 400
    And the answer's error has "<problem>"
    And no job was handed in

    Examples:
      | body                                                    | problem                                         |
      | {"items":[]}                                            | items: expected 1 to 200 items, got 0           |
      | {"items":[{"id":"a","path":"/p","body":"*"}]}           | items[0].body: expected base64 text             |
      | {"items":[{"id":"a","path":"/p","body":7}]}             | items[0].body: expected base64 text, got a number |
      | {"items":[{"id":1,"path":"/p","body":""}]}              | items[0].id: expected a string, got a number    |
      | {"items":[{"id":"a","path":"/p"},{"id":"b"}]}           | items[1].path: expected a string, got nothing   |
      | {"items":[{"id":"a","path":null}]}                      | items[0].path: expected a string, got null      |
      | {"items":[{"id":"a","path":"/p","headers":["x"]}]}      | items[0].headers: expected an object, got a list |
      | {"items":[{"id":"a","path":"/p","tokens":"many"}]}      | items[0].tokens: expected a whole number, got a string |
      | {"items":[{"id":"a","path":"/p","tokens":1e999}]}       | items[0].tokens: expected a whole number, got a number |
      | {"items":["a"]}                                         | items[0]: expected an object, got a string      |
      | {"items":7}                                             | items: expected a list, got a number            |
      | {"things":[]}                                           | items: expected a list, got nothing             |
      | []                                                      | the body: expected an object, got a list        |
      | {"items":                                               | the body is not JSON                            |

  Scenario Outline: The status of a job's submission matches its outcome
    When a gateway gets a job, and the ledger's answer is <answer>
    Then the call is answered <status>

    Examples:
      | answer         | status |
      | accepted       | 202    |
      | not run        | 503    |
      | unclear        | 504    |
      | over the limit | 429    |

  Scenario Outline: An invalid settings file is refused with the name of the setting
    Given a node's settings where <place> is <value>
    Then they are refused and the fault names "<place>"

    Examples:
      | place            | value     |
      | node.role        | "king"    |
      | node.name        | ""        |
      | peers.first_port | 0         |
      | peers.seeds      | ["x"]     |
      | node.losses      | -1        |
