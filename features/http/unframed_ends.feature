Feature: The end of an unframed answer is told as whole only if its server's process has survived it

  An answer with neither a length nor chunks ends with its connection. A process that ends closes all its connections
  in the same way and at the same moment, so the close of one connection does not tell whether the answer is whole.

  Scenario Outline: A process ends behind a part of an unframed answer: <others>, <afterwards>
    # Guards against: streams told as complete without their last events, behind a runner that crashed.
    Given a server with <others>
    And an unframed answer under way of which "a part" has come
    When the server's process ends and <afterwards>
    And 2 seconds pass at the pool
    Then the answer has failed: "the server's process has ended"
    And the answer counts as interrupted by the end of its connection
    And no timer is left at the pool

    Examples:
      | others                              | afterwards                     |
      | no other connection                 | its address refuses            |
      | no other connection                 | another one listens after 2 ms |
      | no other connection                 | its address is silent          |
      | 1 idle connection                   | its address refuses            |
      | 1 idle connection                   | another one listens after 100 ms |
      | 1 idle connection                   | another one listens at once    |
      | 3 idle connections                  | another one listens at once    |
      | 1 other answer in chunks under way  | another one listens at once    |
      | 1 other unframed answer under way   | its address refuses            |
      | 1 other unframed answer under way   | another one listens after 2 ms |

  Scenario: A process resets a request that it has not answered, and another one listens after 30 ms
    # Guards against: a stream told as complete, where the reset counted as that of a server without room.
    Given a server with no other connection
    And an unframed answer under way of which "a part" has come
    And a later request that is not answered, and whose connection the end of the process resets
    When the server's process ends and another one listens after 30 ms
    And 2 seconds pass at the pool
    Then the answer has failed: "the server's process has ended"

  Scenario: A process ends and another one listens while a slow client keeps the answer from being read
    # Guards against: the end of one process confirmed by the connections of the next.
    Given a server with 1 idle connection
    And an unframed answer under way of which "a part" has come
    When reading is paused, the server's process ends unnoticed on the answer's connection, and another one listens
    And reading goes on, and the close is noticed
    And 2 seconds pass at the pool
    Then the answer has failed: "the server's process has ended"

  Scenario: An unframed answer behind 32 interim answers closes in the same read
    # Guards against: an exception in the parsing queue, as the address was gone when the head was parsed.
    Given a server with no other connection
    When a server sends 32 interim answers and an unframed one in one read, and closes
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"

  Scenario Outline: A process ends behind the close of one unframed answer by <ms> ms and is back at once
    Given a server with 1 idle connection
    And an unframed answer under way of which "a part" has come
    When the server closes the answer's connection in order
    And <ms> milliseconds later the server's process ends and another one listens at once
    And 2 seconds pass at the pool
    Then the answer has failed: "the server's process has ended"

    Examples:
      | ms |
      | 0  |
      | 1  |
      | 5  |

  Scenario Outline: A busy gateway notices the closes of a process that has ended one turn after the other: <first> first
    Given a server with 1 idle connection
    And an unframed answer under way of which "a part" has come
    And the turns of the gateway's reactor take 40 ms from now on
    When the server closes <first>
    And 60 milliseconds pass at the pool
    And the server closes <second>
    And 2 seconds pass at the pool
    Then the answer has failed: "the server's process has ended"

    Examples:
      | first                              | second                             |
      | the answer's connection in order   | its idle connections in order      |
      | its idle connections in order      | the answer's connection in order   |

  Scenario Outline: Closes that an idle gateway notices 60 ms apart are not of one moment: <first> first
    Given a server with 1 idle connection
    And an unframed answer under way of which "all of it" has come
    When the server closes <first>
    And 60 milliseconds pass at the pool
    And the server closes <second>
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"

    Examples:
      | first                              | second                             |
      | the answer's connection in order   | its idle connections in order      |
      | its idle connections in order      | the answer's connection in order   |

  Scenario Outline: Only the connection of a whole unframed answer closes: <others>
    Given a server with <others>
    And an unframed answer under way of which "all of it" has come
    When the server closes the answer's connection in order
    Then the answer has not ended
    When 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"
    And no timer is left at the pool

    Examples:
      | others                              |
      | no other connection                 |
      | 1 idle connection                   |
      | 1 other answer in chunks under way  |
      | 1 other unframed answer under way   |

  Scenario: All unframed answers of a server that end at one moment are told as whole
    Given a server with 3 other unframed answers under way
    And an unframed answer under way of which "all of it" has come
    When the server closes every connection that has an answer in order
    And 2 seconds pass at the pool
    Then every answer is told as whole

  Scenario Outline: A server that takes no new connections goes on with an answer <framing>
    # A process that stops in a planned way ends what is under way before it ends.
    Given a server with 1 other <framing> under way
    And an unframed answer under way of which "all of it" has come
    When the server refuses new connections
    And the server closes the answer's connection in order
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"

    Examples:
      | framing          |
      | answer in chunks |
      | unframed answer  |

  Scenario: An idle connection that the server closed earlier is no evidence
    Given a server with 1 idle connection
    And an unframed answer under way of which "all of it" has come
    When the server closes its idle connections in order
    And 1 second passes at the pool
    And the server closes the answer's connection in order
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"

  Scenario Outline: A server that resets connections beyond its maximum <afterwards>
    Given a server with no other connection
    And an unframed answer under way of which "all of it" has come
    When the server resets each new connection
    And the server closes the answer's connection in order
    And 10 milliseconds pass at the pool
    And <afterwards>
    And 2 seconds pass at the pool
    Then the answer <result>

    Examples:
      | afterwards                          | result                                        |
      | 0 seconds pass at the pool          | is told as whole: "all of it"                 |
      | the server refuses new connections  | has failed: "the server's process has ended"  |

  Scenario Outline: How many connections a confirmation opens: <others>
    # New connections take a server's room: one that is held, where no connection that is open can tell.
    Given a server with <others>
    And an unframed answer under way of which "all of it" has come
    When the server closes the answer's connection in order
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"
    And the confirmation has opened <count> connections, of which none is open

    Examples:
      | others                              | count |
      | no other connection                 | 1     |
      | 1 other unframed answer under way   | 1     |
      | 1 idle connection                   | 0     |
      | 1 other answer in chunks under way  | 0     |

  Scenario: An idle connection that the pool itself closes is no evidence
    Given a server with 1 idle connection
    And an unframed answer under way of which "all of it" has come
    When the pool forgets the server's idle connections
    And the server closes the answer's connection in order
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"

  Scenario: A connection that is reset before it got an answer is no evidence
    Given a server with no other connection
    And an unframed answer under way of which "all of it" has come
    When the server resets a new connection of the pool
    And the server closes the answer's connection in order
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"

  Scenario: A connection to a new process does not speak for the one before
    # The answer's connection was not read while the process ended, and a new process has a connection meanwhile.
    Given a server with 1 other answer in chunks under way
    And an unframed answer under way of which "a part" has come
    When the answer is paused
    And the server's process ends unnoticed by the answer, and another one listens at once
    And 1 second passes at the pool
    And a new connection to the server is opened and kept
    And 1 second passes at the pool
    And the answer is read on and its close is noticed
    And 2 seconds pass at the pool
    Then the answer has failed: "the server's process has ended"

  Scenario: A slow receiver's whole unframed answer is told as whole
    Given a server with 1 idle connection
    And an unframed answer under way of which "all of it" has come
    When the answer is paused
    And 20 seconds pass at the pool
    And the answer is read on and its close is noticed
    And 2 seconds pass at the pool
    Then the answer is told as whole: "all of it"

  Scenario Outline: <what> while the end of an unframed answer is being confirmed
    Given a server with <others>
    And an unframed answer under way of which "all of it" has come
    When the server closes the answer's connection in order
    And <what>
    And 2 seconds pass at the pool
    Then the answer <result>
    And no timer is left at the pool

    Examples:
      | others              | what                   | result                            |
      | no other connection | the call is cancelled  | has not ended                     |
      | 1 idle connection   | the call is cancelled  | has not ended                     |
      | no other connection | the pool is stopped    | has failed: "connection closed"   |
      | 1 idle connection   | the pool is stopped    | has failed: "connection closed"   |

  Scenario Outline: An answer whose own framing states its end ends at once: <answer>
    Given a server with no other connection
    When a request "<method>" is answered "<answer>" and the server closes its connection in order
    Then the answer is told as whole: "<body>"

    Examples:
      | method | answer                                                                            | body |
      | GET    | HTTP/1.1 200 OK\|Content-Length: 2\|\|hi                                       | hi   |
      | GET    | HTTP/1.0 200 OK\|Content-Length: 2\|\|hi                                       | hi   |
      | GET    | HTTP/1.1 200 OK\|Transfer-Encoding: chunked\|\|2\|hi\|0\|\|                   | hi   |
      | GET    | HTTP/1.1 204 No Content\|\|                                                    |      |
      | GET    | HTTP/1.1 304 Not Modified\|\|                                                  |      |
      | HEAD   | HTTP/1.1 200 OK\|\|                                                            |      |

  Scenario Outline: An unframed answer with status <status> behind which the process ends has failed
    Given a server with no other connection
    When a request "GET" is answered "HTTP/1.1 <status> Said||a part" and the server's process ends
    And 2 seconds pass at the pool
    Then the answer has failed: "the server's process has ended"

    Examples:
      | status |
      | 200    |
      | 302    |
      | 404    |
      | 500    |

  Scenario: The log tells what was known at an unframed end behind which the process had ended
    Given a server with 1 idle connection
    And an unframed answer under way of which "a part" has come
    When the server's process ends and its address refuses
    And 2 seconds pass at the pool
    Then one line "unframed_end" says the address, that no other connection was open and one had closed, and "ended"

  Scenario: A whole unframed answer leaves no line at the usual level
    Given a server with 1 idle connection
    And an unframed answer under way of which "all of it" has come
    When the server closes the answer's connection in order
    And 2 seconds pass at the pool
    Then no line "unframed_end" is written
