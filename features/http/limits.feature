Feature: The HTTP server bounds what one client holds, does and is waited for

  Scenario: A body over the limit is refused by its announced length, before it is read
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Content-Length: 50001||"
    Then the server's bytes begin with "HTTP/1.1 413"
    And the server has seen the paths ""

  Scenario: A client that waits to be asked for a body over the limit is not asked
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Content-Length: 50001|Expect: 100-continue||"
    Then the server's bytes begin with "HTTP/1.1 413"

  Scenario: A body without room is refused with a time to come back, and has not run
    Given an HTTP server on a full transport with room for 10000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Content-Length: 40000||"
    Then the server's bytes begin with "HTTP/1.1 503"
    And the server's bytes say "Retry-After: 0.5"
    And the server has seen the paths ""

  Scenario: What a refused client still sends is dropped for a bounded time
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Content-Length: 50001||"
    And the client sends 200000 bytes more
    Then the client's connection is still open and nothing is held
    When 3 seconds pass at the HTTP server
    Then the server has closed the connection

  Scenario: What a refused client still sends is dropped up to a bounded number of bytes
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Content-Length: 50001||"
    And the client sends 17000000 bytes more
    Then the server has closed the connection

  Scenario: A chunked body is refused once it is over the limit, and nothing is held of it
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||"
    And the client sends a chunk of 40000 bytes
    Then the budget counts at least 40000 bytes
    When the client sends a chunk of 20000 bytes
    Then the server's bytes begin with "HTTP/1.1 413"
    And the client's connection is still open and nothing is held

  Scenario: A body counts until its request is answered
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Content-Length: 40000||"
    And the client sends 40000 bytes more
    Then the budget counts at least 40000 bytes
    When the server answers
    Then the client's connection is still open and nothing is held

  Scenario: A client that sends very small chunks takes turns with others
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||"
    And the client sends 9000 chunks of 2 bytes and their end
    Then the server has seen the paths ""
    And nothing more is read from the client
    When another client asks for "/other"
    Then the server has seen the paths "/other"
    When the server has worked through what it has received
    Then the server has seen the paths "/other /x"
    And the last body has 18000 bytes
    And more is read from the client

  Scenario: A client that sends very small chunks is not too slow while it waits for its turn
    Given an HTTP server on a full transport with room for 100000 bytes, bodies of 50000
    When a client sends "POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||"
    And the client sends 9000 chunks of 2 bytes and their end
    And the time-out of the request ends before the server has worked through it
    And the server has worked through what it has received
    Then the server has seen the paths "/x"

  Scenario: A slow reader pauses the source of its answer until it has caught up
    Given an HTTP server on a full transport with room for 1000000 bytes, bodies of 50000
    When a client sends "GET /x HTTP/1.1|Host: a||"
    And the server begins an answer and sends 100000 bytes
    Then the source of the answer is asked to pause
    And the budget counts at least 100000 bytes
    When the client takes 100100 bytes
    Then the source of the answer may go on
    And the client's connection is still open and nothing is held

  Scenario: A client that takes nothing of its answer is closed after a while
    Given an HTTP server on a full transport with room for 1000000 bytes, bodies of 50000
    When a client sends "GET /x HTTP/1.1|Host: a||"
    And the server begins an answer and sends 100000 bytes
    And 12 seconds pass at the HTTP server
    Then the server has closed the connection

  Scenario: A client that takes its answer slowly is not closed for that
    Given an HTTP server on a full transport with room for 1000000 bytes, bodies of 50000
    When a client sends "GET /x HTTP/1.1|Host: a||"
    And the server begins an answer and sends 100000 bytes
    And the client takes 400 bytes a second for 30 seconds
    Then the client's connection is still open

  Scenario: The next request waits until the client has taken the answers before it
    Given an HTTP server on a full transport with room for 1000000 bytes, bodies of 50000
    When a client sends "GET /1 HTTP/1.1|Host: a||GET /2 HTTP/1.1|Host: a||"
    And the server answers with 100000 bytes
    And 1 seconds pass at the HTTP server
    Then the server has seen the paths "/1"
    When the client takes 90000 bytes
    And 1 seconds pass at the HTTP server
    Then the server has seen the paths "/1 /2"

  Scenario: A reader without room in the budget is closed
    Given an HTTP server on a full transport with room for 50000 bytes, bodies of 50000
    When a client sends "GET /x HTTP/1.1|Host: a||"
    And the server begins an answer and sends 100000 bytes
    Then the server has closed the connection

  Scenario: What a client sends ahead counts, and without room its connection is closed
    Given an HTTP server on a full transport with room for 50000 bytes, bodies of 50000
    When a client sends "GET /x HTTP/1.1|Host: a||"
    And the client sends 20000 bytes more
    Then the budget counts at least 20000 bytes
    When the client sends 40000 bytes more
    Then the server has closed the connection
    And the server's handler was notified that the client disconnected

  Scenario: A head that does not end counts, and gives way to others
    Given an HTTP server on a full transport with room for 50000 bytes, bodies of 50000
    When a client sends "GET /x HTTP/1.1|Host: a|Filler: "
    And the client sends 36000 bytes more
    And 2 seconds pass at the HTTP server
    And another client asks for "/other" with a body of 20000 bytes
    Then the server has seen the paths "/other"
    And the server's bytes begin with "HTTP/1.1 408"

  Scenario: A connection whose request was answered at once is idle, and its end is no time-out
    Given an HTTP server on a full transport with room for 50000 bytes, bodies of 50000
    And the server answers each request at once
    When a client sends "GET /x HTTP/1.1|Host: a||"
    And 2 seconds pass at the HTTP server
    And its place is needed for others
    Then the server has closed the connection
    And the server has not answered 408
