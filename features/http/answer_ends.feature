Feature: An answer is over where it says so, unless what has been received contradicts that

  A size or a length that was damaged in transit ends an answer early, and what is left over stands behind its end.
  A server may also send a surplus answer behind a whole one; that does not make the first one less whole.

  Scenario Outline: Bytes behind the end of an answer: <behind>
    Given an HTTP client connection with a request under way
    When the other side sends "HTTP/1.1 200 OK|Content-Length: 2||hi<behind>"
    Then the answer <end>
    And the connection is not used again

    Examples:
      | behind                   | end                |
      | H                        | is whole with "hi" |
      | HTTP/1.                  | is whole with "hi" |
      | HTTP/1.0 50              | is whole with "hi" |
      | HTTP/1.1 200 OK\|A: b    | is whole with "hi" |
      | HTTP/1.1 999 Odd\|\|     | is whole with "hi" |
      | HTTP/2                   | broke              |
      | HTTP/1.1 OK              | broke              |
      | http/1.1 200 OK          | broke              |
      | h                        | broke              |
      | !                        | broke              |
      | \|                       | is whole with "hi" |
      | \|\|                     | is whole with "hi" |
      | \|HTTP/1.1 200 OK\|A: b  | broke              |
      | 0\|\|                    | broke              |

  Scenario Outline: Bytes behind an answer that has no body by its status: <status>
    Given an HTTP client connection with a request under way
    When the other side sends "HTTP/1.1 <status>|Content-Length: 2||<behind>"
    Then the answer <end>

    Examples:
      | status           | behind                | end                     |
      | 204 No Content   | hi                    | is whole without a body |
      | 304 Not Modified | hi                    | is whole without a body |
      | 204 No Content   |                       | is whole without a body |
      | 304 Not Modified | HTTP/1.1 200 OK\|A: b | is whole without a body |

  Scenario: A server sends a body behind its answer to HEAD, all of which the head is
    Given an HTTP client connection with a HEAD request under way
    When the other side sends "HTTP/1.1 200 OK|Content-Length: 2||hi"
    Then the answer is whole without a body
    And the connection is not used again

  Scenario Outline: Bytes behind an end that waits for its turn to be parsed: <behind>
    Given calls to 3 runners that answer each call in chunks
    When each runner sends 100 chunks of 2 bytes, their end and "<behind>"
    Then no call has ended
    When the process has worked through what it has received
    Then each call <end>

    Examples:
      | behind             | end                                                                               |
      | id: 4              | has failed: "the end of the answer is contradicted: 5 bytes behind its end"       |
      | HTTP/1.1 200 OK    | has a whole answer of 200 bytes                                                   |

  Scenario Outline: Bytes behind an end that waits for the lines before it: <behind>
    Given calls to 3 runners that answer each call with a stream of events
    When each runner sends 1000 lines in one chunk, the end of its answer and "<behind>"
    Then no call has ended
    When the process has worked through what it has received
    Then each call <end>

    Examples:
      | behind             | end                                                                               |
      | id: 4              | has failed: "the end of the answer is contradicted: 5 bytes behind its end"       |
      | HTTP/1.1 200 OK    | has a whole answer of 1000 bytes                                                  |

  Scenario Outline: The connection closes in order while the bytes behind an end wait: <behind>
    Given calls to 1 runner that answers each call in chunks
    When each runner sends 100 chunks of 2 bytes, their end and "<behind>"
    And each runner closes in order
    And the process has worked through what it has received
    Then each call <end>

    Examples:
      | behind             | end                                                                               |
      | id: 4              | has failed: "the end of the answer is contradicted: 5 bytes behind its end"       |
      | HTTP/1.1 200 OK    | has a whole answer of 200 bytes                                                   |

  Scenario Outline: Bytes behind an end that have arrived and were not read yet: <behind>
    Given an HTTP client connection with a request under way, over a socket
    When the other side's bytes "<behind>" have arrived at the socket
    And the other side sends "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|hi|0||"
    Then the answer <end>
    And the connection is not used again

    Examples:
      | behind          | end                |
      | id: 4           | broke              |
      | HTTP/1.1 200 OK | is whole with "hi" |

  Scenario: Nothing has arrived behind the end of an answer
    Given an HTTP client connection with a request under way, over a socket
    When the other side sends "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|hi|0||"
    Then the answer is whole with "hi"
    And the connection may be used again

  Scenario: The events of a chunk are passed on once the chunk has come whole
    Given an HTTP client connection with a request under way
    When the other side sends "HTTP/1.1 200 OK|Content-Type: text/event-stream|Transfer-Encoding: chunked||"
    And the other side sends "5|abc"
    Then the answer has brought nothing so far
    When the other side sends "de|"
    Then the answer has brought "abcde" so far
    When the other side sends "3|fgh|2;x=y|i"
    Then the answer has brought "abcdefgh" so far
    When the other side sends "j|0||"
    Then the answer is whole with "abcdefghij"
    And the connection may be used again

  Scenario: A large chunk of a stream is passed on as it comes
    Given calls to 1 runner that answers each call with a stream of events
    When each runner sends the first 4096 of 9000 bytes of a chunk
    Then each call has got 0 bytes so far
    When each runner sends the next 1000 bytes of its chunk
    Then each call has got 5096 bytes so far

  Scenario: A chunk of another body is passed on as it comes
    Given calls to 1 runner that answers each call in chunks
    When each runner sends the first 10 of 9000 bytes of a chunk
    Then each call has got 10 bytes so far

  Scenario Outline: Bytes that come once an answer has been told are logged and counted: <behind>
    Given calls to 2 runners that answer each call in chunks
    When each runner sends 3 chunks of 2 bytes and their end
    Then each call has a whole answer of 6 bytes
    When each runner sends "<behind>" behind its answer, and the log is kept
    Then the log has 2 lines "late_bytes" of the level <level>, each with <count> bytes
    And <counted> answers count as followed by bytes that begin no other answer
    And no runner's connection is open

    Examples:
      | behind          | level   | count | counted |
      | id: 4           | WARNING | 5     | 2       |
      | HTTP/1.1 200 OK | INFO    | 15    | 0       |
