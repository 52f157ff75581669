Feature: The engine client maps every end of an HTTP stream to a typed end
  An attempt is REFUSED only if it was certainly not run; in doubt it is LOST.

  Scenario: A complete answer arrives over HTTP
    Given an engine server on loopback
    When the engine client generates 30 tokens
    Then the engine client's attempt ended "length" with its whole answer

  Scenario: An answer that is not streamed arrives completely
    Given an engine server on loopback
    When the engine client generates 30 tokens unstreamed
    Then the engine client's attempt ended "length" with its whole answer
    And the engine client's attempt came in 2 chunks

  Scenario: An engine's refusal is REFUSED with its hint
    Given an engine server on loopback
    When the engine client generates 30 tokens of version "other"
    Then the engine client's attempt ended "refused" because of "not loaded"
    And the engine client's attempt says to retry after 1 s

  Scenario: No server listens
    Given no engine server on loopback
    When the engine client generates 30 tokens
    Then the engine client's attempt ended "refused" because of "refused"

  Scenario Outline: An address that cannot be used is REFUSED
    Given an engine address "<address>"
    When the engine client generates 30 tokens
    Then the engine client's attempt ended "refused" because of ""
    And calls of the engine client to the address are unavailable and not run
    When the engine client subscribes to the engine
    Then the engine client's subscriber is notified once that the stream is lost

    Examples:
      | address             |
      | nonsense            |
      | ftp://127.0.0.1:9   |
      | http://127.0.0.1:x  |
      | http://[::1]:1      |
      | http://127.0.0.1:1  |

  Scenario: A malformed reply is an error of unknown outcome
    Given a scripted engine that answers 200 with nonsense
    Then the engine client's order ends as "internal" with outcome "unknown"

  Scenario Outline: Whatever an engine sends, the end is typed
    Given a scripted engine that <does>
    When the engine client generates 30 tokens
    Then the engine client's attempt ended "<reason>" because of "<detail>"

    Examples:
      | does                                      | reason  | detail                    |
      | closes without a response                 | lost    |                           |
      | sends half a header and closes            | lost    |                           |
      | sends two chunks and closes               | lost    | broke off                 |
      | sends two chunks and ends the response    | lost    | broke off                 |
      | sends a frame that is not JSON            | lost    | malformed                 |
      | sends a chunk whose sequence is text      | lost    | malformed                 |
      | sends an end with an unknown reason       | lost    | malformed                 |
      | sends a frame without end                 | lost    | longer than               |
      | answers 500 without a fault               | lost    | 500                       |
      | answers 409 as not run                    | refused | fenced off                |
      | answers 503 as unknown                    | lost    | perhaps                   |
      | sends nothing                             | lost    | within the timeout        |
      | sends two chunks and then nothing         | lost    | within the timeout        |

  Scenario: Comments keep a slow stream alive
    Given a scripted engine that sends comments for three read timeouts and then an end
    When the engine client generates 30 tokens
    Then the engine client's attempt ended "stop" because of ""

  Scenario: A crash in mid-stream is LOST, and the chunks before it are kept
    Given an engine server on loopback
    When the engine client generates 2000 tokens
    And 5 chunks have come to the engine client
    And the engine behind the server crashes
    Then the engine client's attempt ended "lost" because of "broke off"
    And the engine client's chunks are the beginning of the answer

  Scenario: A lost stream resumes at the next chunk
    Given an engine server on loopback
    When the engine client generates 60 tokens
    And 5 chunks have come to the engine client
    And the engine client resumes the attempt after what has come
    Then the resumed attempt completes the answer without overlap
    And a resume of an unknown attempt ended "refused" because of "no attempt"

  Scenario: A cancel reaches the engine
    Given an engine server on loopback
    When the engine client generates 2000 tokens
    And 2 chunks have come to the engine client
    And the engine client cancels the attempt
    Then the engine client's attempt ended "cancelled" because of "cancelled"
    And the engine client's cancel found the attempt
    And a second cancel by the engine client does not find it

  Scenario: A paused stream delivers nothing until it is resumed
    Given a scripted engine that floods
    When the engine client generates 30 tokens
    And 1 chunk has come to the engine client
    And the engine client pauses the attempt until the engine is blocked
    Then no chunk comes while the attempt is paused
    When the engine client unpauses the attempt
    Then the engine client's attempt ended "stop" with every chunk of the flood

  Scenario: Orders, KV moves and refusals cross the wire as typed values
    Given an engine server on loopback
    Then orders by the engine client are accepted, and refused under a lower fence
    And a session exported by the engine client is imported again

  Scenario: Load reports and cache events are followed until the engine crashes
    Given an engine server on loopback
    When the engine client subscribes to the engine
    And the engine client generates 30 tokens about a long prompt
    Then a load report and the cached blocks reach the subscriber
    When the engine behind the server crashes
    Then the engine client's subscriber is notified once that the stream is lost

  Scenario: A subscription without a server is lost immediately, and an ended one is silent
    Given no engine server on loopback
    When the engine client subscribes to the engine
    Then the engine client's subscriber is notified once that the stream is lost

  Scenario: An OpenAI client may use the engine directly
    Given an engine server on loopback
    Then the OpenAI client gets the engine's answer whole and streamed

  Scenario: A reply that announces no length is not read beyond the largest one
    Given a scripted engine that replies with 20 megabytes and no length
    When the engine client takes replies of at most 1000000 bytes
    Then the engine client's order ends as "too_large" with outcome "unknown"
