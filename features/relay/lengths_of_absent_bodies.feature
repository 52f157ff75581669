Feature: An answer without a body keeps the length that its runner states

  The answer to HEAD, or a 304, states the length of the body that it leaves out. A gateway that sets it to the
  length of what it forwards tells the client that the body is empty.

  Scenario Outline: An answer <status> to <method> with <field>
    Given a relay whose connections are real, with a "safe" route
    When a client sends a request of method <method>, and its runner answers <status> with "<field>"
    Then the client has the whole answer <status> with nothing
    And the answer states the length "<length>"
    And the next request of the client is answered too

    Examples:
      | method | status | field                      | length |
      | HEAD   | 200    | Content-Length: 35         | 35     |
      | HEAD   | 200    | Transfer-Encoding: chunked |        |
      | HEAD   | 200    | X-Framing: none            |        |
      | HEAD   | 404    | Content-Length: 35         | 35     |
      | GET    | 304    | Content-Length: 35         | 35     |
      | GET    | 304    | X-Framing: none            |        |
      | POST   | 204    | Content-Length: 35         |        |
      | POST   | 204    | X-Framing: none            |        |
      | GET    | 204    | Transfer-Encoding: chunked |        |

  Scenario: An answer to HEAD with the type of a stream lacks no events
    Given a relay whose connections are real, with a "run-once stream" route
    When a client sends a request of method HEAD, and its runner answers 200 with "Content-Type: text/event-stream"
    Then the client has the whole answer 200 with nothing
