Feature: A request whose framing is ambiguous reaches its runner as one request, or not at all

  A gateway and what stands before it might read the end of a request differently. What one takes for the body the
  other takes for the next request, which would then run under another client's name.

  Scenario Outline: The runner gets one request with one length: <framing>
    Given a relay whose connections are real, with a "safe" route
    When a client sends a request framed by "<framing>" and the bytes "<bytes>"
    Then the runner has got one request with the length <length> and the body "<body>", and no field "x-hidden"

    Examples:
      | framing                                        | bytes                              | length | body |
      | Transfer-Encoding: chunked\|Content-Length: 4  | 2\|hi\|0\|\|                       | 2      | hi   |
      | Content-Length: 4\|Transfer-Encoding: chunked  | 2\|hi\|0\|\|                       | 2      | hi   |
      | Transfer-Encoding: chunked                     | 2\|hi\|0\|X-Hidden: 1\|\|          | 2      | hi   |
      | Transfer-Encoding: chunked\|Trailer: X-Hidden  | 2\|hi\|0\|X-Hidden: 1\|\|          | 2      | hi   |
      | Content-Length: 2\|Content-Length: 2           | hi                                 | 2      | hi   |
      | Content-Length: 2, 2                           | hi                                 | 2      | hi   |

  Scenario Outline: Nothing reaches a runner: <framing>
    Given a relay whose connections are real, with a "safe" route
    When a client sends a request framed by "<framing>" and the bytes "<bytes>"
    Then no runner has got a request, and the client has been told <status>

    Examples:
      | framing                              | bytes              | status |
      | Content-Length: 2\|Content-Length: 4 | hi                 | 400    |
      | Content-Length: 2, 4                 | hi                 | 400    |
      | Content-Length: -2                   | hi                 | 400    |
      | Content-Length: +2                   | hi                 | 400    |
      | Content-Length: 0x2                  | hi                 | 400    |
      | Transfer-Encoding: gzip, chunked     | 2\|hi\|0\|\|       | 501    |
      | Transfer-Encoding: identity          | hi                 | 501    |
      | Transfer-Encoding: chunked           | +2\|hi\|0\|\|      | 400    |
      | Transfer-Encoding: chunked           | 0x2\|hi\|0\|\|     | 400    |
      | Transfer-Encoding: chunked           | 1\|hi\|0\|\|       | 400    |

  Scenario Outline: Bytes behind a request are no part of it, and no request: <bytes>
    Given a relay whose connections are real, with a "safe" route
    When a client sends a request framed by "Content-Length: 2" and the bytes "<bytes>"
    Then the runner has got one request with the length 2 and the body "hi", and no field "x-hidden"
    When the runner has answered
    Then no other request has been made, and the client's second answer has the status 400

    Examples:
      | bytes                     |
      | hiho\|\|                  |
      | hiX-Hidden: 1\|\|         |
      | hi0\|\|GET / HTTP/1.1\|\| |
