Feature: Connections report whether a request was sent and how its answer ended

  Scenario: A request with a length and a chunked one arrive complete
    Given an HTTP server that answers with the body it got
    When a client sends "POST /x HTTP/1.1|Host: a|Content-Length: 3||abc"
    Then the server's bytes end with "abc"
    When a client sends "POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||2|de|1|f|0||"
    Then the server's bytes end with "def"

  Scenario: A pipelined request is answered after the one before it
    Given an HTTP server that answers later
    When a client sends "GET /1 HTTP/1.1|Host: a||GET /2 HTTP/1.1|Host: a||"
    Then the server has seen the paths "/1"
    When the server answers
    Then the server has seen the paths "/1 /2"

  Scenario Outline: A request's time counts from its first byte: <course>
    # Guards against: runners that are told of more time than the client has left.
    Given an HTTP server that answers later
    When a client sends "<first>"
    And <seconds> seconds pass at the HTTP server
    And a client sends "<rest>"
    And <last>
    Then the last request was received <seconds> seconds ago

    Examples:
      | course                              | first                              | seconds | rest                             | last                                   |
      | its head comes in two parts         | GET /1 HTTP/1.1\|Host             | 2       | : a\|\|                        | 0 seconds pass at the HTTP server      |
      | its body comes later                | PUT /1 HTTP/1.1\|Host: a\|Content-Length: 2\|\| | 2 | ok                         | 0 seconds pass at the HTTP server      |

  Scenario Outline: A request that is sent ahead counts from its arrival, not from the end of the answer before it: <course>
    # Guards against: the same, behind a long answer on one connection.
    Given an HTTP server that answers later
    When a client sends "GET /1 HTTP/1.1|Host: a||<with it>"
    And a client sends "<after it>"
    And 3 seconds pass at the HTTP server
    And the server answers
    Then the server has seen the paths "/1 /2"
    And the last request was received 3 seconds ago
    When a client sends nothing for 1 second after its answer, then "GET /3 HTTP/1.1|Host: a||"
    Then the last request was received 0 seconds ago

    Examples:
      | course                         | with it             | after it                      |
      | begun in the same packet       | GET /2 HTTP/1.1\|Ho | st: a\|\|                     |
      | in a later one                 |                     | GET /2 HTTP/1.1\|Host: a\|\| |

  Scenario: A request that has waited unread in the kernel counts from its arrival there
    # Guards against: the same, at a process that stood still or was busy.
    Given an HTTP server that answers later, over a socket
    When a client of that socket sends a request that is not read for 0.3 seconds
    Then the request was received between the moment it was sent and 0.25 seconds before it was read

  Scenario: A client's disconnect is noticed while its request is in progress
    Given an HTTP server that answers later
    When a client sends "GET /1 HTTP/1.1|Host: a||"
    And the client closes its connection
    Then the server's handler was notified that the client disconnected

  Scenario Outline: Bad or too large requests are refused and the connection closed
    Given an HTTP server that takes bodies of 10 bytes and heads of 200
    When a client sends "<bytes>"
    Then the server's bytes begin with "HTTP/1.1 <status>"
    And the server has closed the connection

    Examples:
      | bytes                                                  | status |
      | POST /x HTTP/1.1\|Host: a\|Content-Length: 11\|\|abcdefghijk | 413    |
      | nonsense\|\|                                           | 400    |

  Scenario: A head that does not end in time is answered with 408
    Given an HTTP server that answers later
    When a client sends "GET /1 HTTP/1.1|Host"
    And 11 seconds pass at the HTTP server
    Then the server's bytes begin with "HTTP/1.1 408"

  Scenario: A draining server ends each connection with its answer
    Given an HTTP server that answers later
    When a client sends "GET /1 HTTP/1.1|Host: a||"
    And the server drains
    And the server answers
    Then the server's bytes say "Connection: close"
    And the server has closed the connection

  Scenario: An aborted answer never looks complete
    Given an HTTP server that answers later
    When a client sends "GET /1 HTTP/1.1|Host: a||"
    And the server begins an answer, sends "part" and aborts
    Then the server's bytes don't hold the end of a chunked body
    And the server has closed the connection

  Scenario: The connection of a complete answer is reused
    Given an HTTP client connection with a request under way
    When the other side sends "HTTP/1.1 200 OK|Content-Length: 2||hi"
    Then the answer is whole with "hi"
    And the connection may be used again

  Scenario Outline: An incomplete answer is reported as broken
    Given an HTTP client connection with a request under way
    When the other side sends "<bytes>"
    And the other side closes <how>
    Then the answer <end>
    And the connection is not used again

    Examples:
      | bytes                                        | how      | end                  |
      | HTTP/1.1 200 OK\|Content-Length: 9\|\|hi     | in order | broke                |
      | HTTP/1.1 200 OK\|\|hi                        | in order | is whole with "hi"   |
      | HTTP/1.1 200 OK\|\|hi                        | by reset | broke                |
      | gibberish\|\|                                | in order | broke                |
      |                                              | in order | broke                |

  Scenario: Bytes after a complete answer are dropped
    Given an HTTP client connection with a request under way
    When the other side sends "HTTP/1.1 200 OK|Content-Length: 2||hiHTTP/1.1 200 OK|Content-Length: 2||no"
    Then the answer is whole with "hi"
    And the connection is not used again

  Scenario: Bytes on an idle connection end it
    Given an HTTP client connection with a request under way
    When the other side sends "HTTP/1.1 200 OK|Content-Length: 2||hi"
    And the other side sends "HTTP/1.1 200 OK|Content-Length: 2||no"
    Then the answer is whole with "hi"
    And the connection was closed by us

  Scenario: Hop-by-hop fields are not forwarded
    Then these fields are forwarded
      | fields                                          | left       |
      | Connection: close, x-hop; X-Hop: 1; Kept: 2     | Kept       |
      | Transfer-Encoding: chunked; Te: trailers; A: 1  | A          |
      | Keep-Alive: timeout=3; Upgrade: h2; Host: b     | Host       |

  Scenario: A server is drained only when its last answer has been flushed
    Given an HTTP server that answers later, over a connection that flushes slowly
    When a client sends "GET /1 HTTP/1.1|Host: a||"
    And the server drains and waits until it is drained
    And the server answers
    Then the server is not drained yet
    When the connection has flushed
    Then the server is drained

  Scenario: After a reset of an idle connection, requests go out on new connections for a while
    Given a pool with connections to servers a, b and c that have been idle for 1 second
    When a request to server a is reset at once on its connection
    Then a request to server c goes out on a new connection
    And 25 seconds later connections that have been idle for 1 second are used again

  Scenario: A request that is reset after a while, or on a fresh connection, does not limit idle times
    Given a pool with connections to servers a, b and c that have been idle for 1 second
    When a request to server a is reset after 0.4 seconds on its connection
    And a request to server b is reset after 0.4 seconds on its connection
    Then a request to server c goes out on the idle connection

  Scenario: A request that its own side cancels does not limit idle times
    Given a pool with connections to servers a, b and c that have been idle for 1 second
    When a request to server a is cancelled at once
    And a request to server b is cancelled at once
    Then a request to server c goes out on the idle connection

  Scenario: Of two kept connections the one that has settled is taken where that is asked for
    Given a pool with connections to servers a, b and c that have been idle for 1 second
    When another connection to server a is opened after 2 seconds more
    Then a request to server a that asks for a connection of 3 seconds goes over the first one
    And a request to server a that asks for a connection of 9 seconds goes over a kept one
    And server a has a settled connection of 3 seconds, and none of 9 seconds
