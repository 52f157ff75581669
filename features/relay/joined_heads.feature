Feature: The remains of a head are not the head of the next answer

  A runner stops inside a head on a connection that stays open, and then answers a request there. The two heads
  read as one: the length of the first would frame the body of the second, and a client would get a success with
  a part of its body, or with none, as whole.

  Scenario Outline: The remains of another answer come before the answer: <route>
    Given a relay whose connections are real, with a "<route>" route
    When the first runner of each request sends the remains of a head, cut at many places, before its answer
    Then every client has its whole answer, or has been told 502 or 504

    Examples:
      | route            |
      | resumable stream |
      | run-once stream  |
      | safe             |
      | unsafe           |

  Scenario: The text of an item is whole although its runner stopped inside a head before
    Given a relay whose connections are real, with a "run-once stream" route
    When the runner of an item sends the remains of a head, cut at many places, before its answer
    Then every run of the item has its whole text, or has broken off

  Scenario: An answer whose fields name a protocol is whole
    Given a relay whose connections are real, with a "safe" route
    When a runner answers 200 with a body and the field "Via: HTTP/1.1 proxy, 1.0 other (HTTP/1.1)"
    Then the client has the whole answer 200 with a body
