Feature: An answer of a runner that stops inside its head reaches no client as an answer

  The runners stop in the middle of their answers' heads and close. Whatever the place, the framing that the
  head has told so far, the version of HTTP and the way in which the connection ends, a client gets neither a
  success nor a part of one; where the request may be repeated, it gets another runner's answer.

  Scenario Outline: No runner gets beyond a part of its head: <route>
    Given a relay whose connections are real, with a "<route>" route
    When every runner cuts each answer in its head, at one place of each class
    Then every client has been told 502 or 504, and none of them anything of an answer
    And no request was sent more often than its route allows

    Examples:
      | route            |
      | resumable stream |
      | run-once stream  |
      | safe             |
      | keyed            |
      | unsafe           |
      | cached           |

  Scenario Outline: One runner cuts its head, at every byte of it: <route>
    Given a relay whose connections are real, with a "<route>" route
    When the first runner of each request cuts its answer after every number of bytes of its head
    Then <result>

    Examples:
      | route            | result                                                                           |
      | resumable stream | every client has the whole answer of the second runner                           |
      | run-once stream  | every client has been told 502 or 504, and none of them anything of an answer    |
      | safe             | every client has the whole answer of the second runner                           |
      | unsafe           | every client has been told 502 or 504, and none of them anything of an answer    |

  Scenario: A stream that has begun is broken off when the head of the second runner is cut
    Given a relay whose connections are real, with a "resumable stream" route
    When a stream breaks off after its first event, and the next runner cuts its head at one place of each class
    Then every client's stream was broken off after its first event

  Scenario: Requests of one client behind each other whose answers are cut in turn
    Given a relay whose connections are real, with a "unsafe" route
    When a client sends three requests at once, of which the second is cut in its head at one place of each class
    Then the first and the third are answered whole, and the second with 502

  Scenario: An item whose runner stops inside its head has no text
    Given a relay whose connections are real, with a "run-once stream" route
    When the runner of an item cuts its answer in its head, at one place of each class
    Then every run of the item has broken off without a text, and may be repeated

  Scenario Outline: The gateway stops while a part of a head has come: <route>
    Given a relay whose connections are real, with a "<route>" route
    When the gateway's stop ends every request whose runner has sent a part of its head
    Then every client has been told 502 or 504, and none of them anything of an answer

    Examples:
      | route            |
      | resumable stream |
      | run-once stream  |
      | safe             |
      | unsafe           |

  Scenario Outline: There is no memory left when the head is cut: <route>
    Given a relay whose connections are real, with a "<route>" route
    And its gateway has no memory left for the answers of runners
    When every runner cuts each answer in its head, at one place of each class
    Then every client has been told 502 or 504, and none of them anything of an answer

    Examples:
      | route            |
      | resumable stream |
      | unsafe           |
