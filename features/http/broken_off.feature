Feature: An interrupted answer never looks complete to a client on a real socket

  Scenario Outline: A process that ends in the middle of an answer
    Given a process that serves HTTP on loopback
    When a client of HTTP <version> asks for "/<framing>/never/1000"
    And the first bytes of the answer have come
    And the process that serves HTTP <ends>
    Then the client finds the answer broken

    Examples:
      | version | framing | ends             |
      | 1.0     | none    | is killed        |
      | 1.0     | none    | ends its reactor |
      | 1.0     | length  | is killed        |
      | 1.0     | length  | ends its reactor |
      | 1.1     | none    | is killed        |
      | 1.1     | none    | ends its reactor |
      | 1.1     | length  | is killed        |
      | 1.1     | length  | ends its reactor |

  Scenario Outline: A process that ends while data of a written answer is still unsent
    Given a process that serves HTTP on loopback
    When a client of HTTP <version> asks for "/<framing>/whole/32000000"
    And the first bytes of the answer have come
    And the process that serves HTTP <ends>
    Then the client finds the answer broken

    Examples:
      | version | framing | ends             |
      | 1.0     | none    | is killed        |
      | 1.0     | none    | ends its reactor |
      | 1.1     | none    | is killed        |
      | 1.1     | length  | ends its reactor |

  Scenario Outline: A handler that aborts its answer
    Given a process that serves HTTP on loopback
    When a client of HTTP <version> asks for "/<framing>/never/<count>"
    And the first bytes of the answer have come
    And the handler aborts the answer
    Then the client finds the answer broken

    Examples:
      | version | framing | count    |
      | 1.0     | none    | 1000     |
      | 1.0     | none    | 32000000 |
      | 1.0     | length  | 1000     |
      | 1.1     | none    | 1000     |
      | 1.1     | none    | 32000000 |
      | 1.1     | length  | 1000     |

  Scenario Outline: A handler that ends an answer shorter than it announced
    Given a process that serves HTTP on loopback
    When a client of HTTP <version> asks for "/length/short/<count>"
    Then the client finds the answer broken

    Examples:
      | version | count    |
      | 1.0     | 1000     |
      | 1.1     | 1000     |
      | 1.1     | 32000000 |

  Scenario Outline: A client that ends its own side before the answer has ended
    Given a process that serves HTTP on loopback
    When a client of HTTP <version> asks for "/<framing>/never/1000"
    And the first bytes of the answer have come
    And the client ends its sending side
    Then the client finds the answer broken

    Examples:
      | version | framing |
      | 1.0     | none    |
      | 1.0     | length  |
      | 1.1     | none    |
      | 1.1     | length  |

  Scenario Outline: An uninterrupted answer arrives complete, also when it is read slowly
    Given a process that serves HTTP on loopback
    When a client of HTTP <version> asks for "/<framing>/whole/<count>"
    And the first bytes of the answer have come
    Then the client finds the answer whole with <count> bytes

    Examples:
      | version | framing | count    |
      | 1.0     | none    | 0        |
      | 1.0     | none    | 1000     |
      | 1.0     | none    | 32000000 |
      | 1.0     | length  | 32000000 |
      | 1.1     | none    | 32000000 |
      | 1.1     | length  | 32000000 |

  Scenario Outline: An answer is sent completely when its client ends its sending side after the answer's end
    Given a process that serves HTTP on loopback
    When a client of HTTP <version> asks for "/<framing>/whole/32000000"
    And the first bytes of the answer have come
    And the client ends its sending side
    Then the client finds the answer whole with 32000000 bytes

    Examples:
      | version | framing |
      | 1.0     | none    |
      | 1.0     | length  |
      | 1.1     | none    |
      | 1.1     | length  |
