Feature: Successes and redirections that are no stream of events

  A runner answers a request for a stream, or an item, with a status of 2xx or 3xx and without events. At the
  head of a client's answer it is the runner's own word and passes unchanged. It neither continues nor ends a
  stream that has begun, and it never is the text of an item.

  Scenario Outline: The whole answer to a request for a stream: <status>
    Given a relay whose connections are real, with a "<route>" route
    When a runner answers <status> with an empty body in a length
    Then the client has the whole answer <status> with nothing

    Examples:
      | route            | status |
      | resumable stream | 204    |
      | resumable stream | 205    |
      | resumable stream | 206    |
      | resumable stream | 302    |
      | resumable stream | 304    |
      | run-once stream  | 204    |
      | run-once stream  | 205    |
      | run-once stream  | 206    |
      | run-once stream  | 302    |
      | run-once stream  | 304    |

  Scenario: The run that takes a stream up answers with such a status
    Given a relay whose connections are real, with a "resumable stream" route
    When a stream breaks off after its first event, and the next runner answers 204, 205, 206, 302 or 304
    Then every client's stream was broken off after its first event

  Scenario: An item that is answered with such a status is run again
    Given a relay whose connections are real, with a "run-once stream" route
    When the runner of an item answers 200 without events, 204, 205, 206, 302 or 304
    Then every run of the item has failed without a text, and not by the end of its connection

  Scenario Outline: The answer 200 to HEAD, with bytes that look like its body: <route>
    Given a relay whose connections are real, with a "<route>" route
    When a client sends a request of method HEAD, and its runner answers 200 with "Content-Length: 35" and a body
    Then the client has the whole answer 200 with nothing
    And the answer states the length "35"

    Examples:
      | route            |
      | resumable stream |
      | run-once stream  |
      | safe             |
