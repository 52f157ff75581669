Feature: The work for the events of a stream grows with their bytes, not with how they are cut

  Scenario Outline: A pending event that arrives in small pieces is not copied again for each piece
    Given a stream of events whose lines end with <ends>
    When an event of <size> bytes without end arrives in pieces of 64 bytes
    Then at most 4 bytes were allocated for each byte of it, and 4096 for each piece

    Examples:
      | size   | ends |
      | 20000  | LF   |
      | 200000 | LF   |
      | 200000 | CRLF |

  Scenario Outline: However a stream is cut, its events are the same
    Given a random stream of 200 events of seed <seed>
    Then it has the same events in one piece, byte by byte, and in random pieces

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
