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
