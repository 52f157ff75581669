Feature: A success whose body never began is not whole

  A runner sends a whole head with neither a length nor chunks, and its connection closes before the first byte
  of the body. A runner that crashes there looks like one that has finished with an empty body; a client must
  not get that as a whole answer.

  Scenario Outline: The connection of the first runner closes behind its head: <route>
    Given a relay whose connections are real, with a "<route>" route
    When the first runner of each request closes behind a head with neither a length nor chunks
    Then <result>

    Examples:
      | route            | result                                                                        |
      | resumable stream | every client has the whole answer of the second runner                        |
      | run-once stream  | every client has been told 502 or 504, and none of them anything of an answer |
      | safe             | every client has the whole answer of the second runner                        |
      | keyed            | every client has been told 502 or 504, and none of them anything of an answer |
      | unsafe           | every client has been told 502 or 504, and none of them anything of an answer |
      | cached           | every client has been told 502 or 504, and none of them anything of an answer |

  Scenario Outline: Such a close ends an answer that needs no body, or has begun it: <status>, <body>
    Given a relay whose connections are real, with a "safe" route
    When a runner answers <status> with neither a length nor chunks, sends <body> and closes in order
    Then the client has the whole answer <status> with <body>

    Examples:
      | status | body    |
      | 200    | a body  |
      | 201    | a body  |
      | 204    | nothing |
      | 304    | nothing |
      | 302    | nothing |
      | 404    | nothing |

  Scenario Outline: An empty body that is framed is whole: <framing>
    Given a relay whose connections are real, with a "safe" route
    When a runner answers 200 with an empty body in <framing>
    Then the client has the whole answer 200 with nothing

    Examples:
      | framing  |
      | chunks   |
      | a length |

  Scenario Outline: An answer without a body proves that its runner survived: <status> to <method>
    Given a relay whose connections are real, with a "safe" route
    When a client sends a request of method <method>, and its runner answers <status> without framing and stays
    Then the client has the whole answer <status> with nothing
    And the answer proves that its runner survived

    Examples:
      | status | method |
      | 200    | HEAD   |
      | 204    | POST   |
      | 304    | GET    |
