Feature: Server-sent events are parsed with any read boundaries and any bytes
  Engines are third-party programs: nothing that they send may crash a gateway.

  Scenario Outline: Every form of the specification is understood
    When the SSE parser is fed <bytes>
    Then the SSE parser yields <events>

    Examples:
      | bytes                                  | events                        |
      | data: a\n\n                            | message=a                     |
      | data:a\n\ndata: b\n\n                  | message=a message=b           |
      | event: load\ndata: a\n\n               | load=a                        |
      | data: a\ndata: b\n\n                   | message=a/b                   |
      | : comment\n\n                          | nothing                       |
      | : comment\ndata: a\n\n                 | message=a                     |
      | data: a\r\n\r\ndata: b\r\rdata: c\n\n  | message=a message=b message=c |
      | id: 7\nretry: 5\n\n                    | nothing                       |
      | data: unfinished\n                     | nothing                       |
      | event: load\n\n                        | nothing                       |

  Scenario: The boundaries of the reads make no difference
    Then any events cut into any pieces come out of the SSE parser unchanged

  Scenario: No bytes crash the parser or the decoding of a chunk
    Then any bytes fed to the SSE parser give events or a typed error
    And any JSON decoded as a chunk gives a record or a value error

  Scenario: A frame without an end is refused, not buffered without limit
    When the SSE parser with a bound of 1000 bytes is fed 2000 bytes without an end
    Then the SSE parser has refused the frame

  Scenario Outline: A pending frame that arrives in small pieces is not copied again for each piece
    Given an engine's stream of events whose lines end with <ends>
    When an event of <size> bytes without end arrives in pieces of <piece> bytes
    Then at most 4 bytes were allocated for each byte of it, and 4096 for each piece

    Examples:
      | size   | piece | ends |
      | 20000  | 2     | LF   |
      | 200000 | 64    | LF   |
      | 200000 | 64    | CRLF |
      | 200000 | 64    | CR   |

  Scenario Outline: However an engine's stream is cut, its events are the same
    Given a random stream of 200 events of seed <seed>
    Then the SSE parser has the same events in one piece, byte by byte, and in random pieces

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
