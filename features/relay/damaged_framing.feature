Feature: A part of an answer is not told as whole because what frames it was damaged

  A size or a length was changed in transit, and the answer ends early by its own word, with bytes left over behind
  its end or in its trailers. A client must neither be told that such an answer is complete, nor get a part of an
  event.

  Scenario Outline: <route>: <damage>
    Given a relay whose connections are real, with a "<route>" route
    When the first runner of each request sends an answer of which <damage>
    Then no client has a part of its answer as whole

    Examples:
      | route            | damage                                      |
      | resumable stream | its second chunk has the size 00            |
      | run-once stream  | its second chunk has the size 00            |
      | safe             | its second chunk has the size 00            |
      | unsafe           | its second chunk has the size 00            |
      | resumable stream | a last chunk stands in the place of a size  |
      | run-once stream  | a last chunk stands in the place of a size  |
      | safe             | a last chunk stands in the place of a size  |
      | unsafe           | a last chunk stands in the place of a size  |
      | resumable stream | a last chunk and half of the content follow |
      | run-once stream  | a last chunk and half of the content follow |
      | safe             | a last chunk and half of the content follow |
      | resumable stream | its second chunk has the size 4             |
      | run-once stream  | its second chunk has the size 4             |
      | safe             | its second chunk has the size 4             |
      | resumable stream | a chunk takes the begin of the next one     |
      | run-once stream  | a chunk takes the begin of the next one     |
      | safe             | a chunk takes the begin of the next one     |
      | unsafe           | a chunk takes the begin of the next one     |
      | resumable stream | its length is too small                     |
      | run-once stream  | its length is too small                     |
      | safe             | its length is too small                     |
      | unsafe           | its length is too small                     |
      | keyed            | its length is too small                     |
      | cached           | its length is too small                     |
      | resumable stream | its length ends inside an event             |
      | run-once stream  | its length ends inside an event             |
      | run-once stream  | its length is too large                     |
      | safe             | its length is too large                     |
      | resumable stream | its lengths differ                          |
      | safe             | its lengths differ                          |
      | unsafe           | its lengths differ                          |
      | resumable stream | its length is no number                     |
      | safe             | its length is no number                     |
      | resumable stream | its length and its chunks differ            |
      | run-once stream  | its length and its chunks differ            |
      | safe             | its length and its chunks differ            |
      | unsafe           | its length and its chunks differ            |
      | resumable stream | its transfer coding is another one          |
      | safe             | its transfer coding is another one          |
      | unsafe           | its transfer coding is another one          |
      | resumable stream | a size is no hexadecimal number             |
      | run-once stream  | a size is no hexadecimal number             |
      | safe             | a size is no hexadecimal number             |

  Scenario: A resumable stream is cut behind its last event when its length is too large and no attempt is left
    Given a relay whose connections are real, with a "resumable stream" route
    When the first runner of each request sends an answer of which its length is too large
    Then every client's stream is cut behind its last event

  Scenario Outline: The log tells what contradicts the end, without content: <damage>
    Given a relay whose connections are real, with a "resumable stream" route
    When a runner sends an answer of which <damage>, and its log is kept
    Then the log has "attempt_broke" with "reason" = "the end of the answer is contradicted: <what>"
    And the log has "request_completed" with "run_ends" = "the end of the answer is contradicted: <what>,ended"
    And no line of the log has content of the answer

    Examples:
      | damage                                     | what                                               |
      | its second chunk has the size 00           | 2 trailer fields that its head does not announce   |
      | a last chunk stands in the place of a size | 53 bytes behind its end                            |
      | its length and its chunks differ           | 40 bytes in chunks against a stated length of 61   |

  Scenario Outline: An answer is whole that ends with <what>: <route>
    Given a relay whose connections are real, with a "<route>" route
    When a runner sends a whole answer with <what>
    Then every client has the whole answer of the first runner

    Examples:
      | route           | what                                  |
      | run-once stream | a last chunk with an extension        |
      | run-once stream | a last chunk of several zeros         |
      | run-once stream | trailers that its head announces      |
      | run-once stream | a length that its chunks hold         |
      | run-once stream | the same length twice                 |
      | run-once stream | another answer behind it in chunks    |
      | run-once stream | another answer behind its length      |
      | run-once stream | the begin of another answer behind it |
      | unsafe          | a last chunk with an extension        |
      | unsafe          | trailers that its head announces      |
      | unsafe          | a length that its chunks hold         |
      | safe            | a length that its chunks hold         |
      | unsafe          | another answer behind it in chunks    |
      | unsafe          | another answer behind its length      |
      | unsafe          | the begin of another answer behind it |
