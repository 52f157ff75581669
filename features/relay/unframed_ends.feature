Feature: A runner's process that ends behind a part of an unframed answer does not complete it

  Without a length or chunks only the close of its connection ends an answer. A runner that crashes closes it in the
  same way, with all its others, and its address refuses until it is back.

  Scenario Outline: A runner crashes between two events of an unframed stream: <route>, back after <ms> ms
    # Guards against: a stream told as complete, in the gateway's own chunks, without its last events.
    Given a relay before runner processes, with a "<route>" route
    When a runner sends events 1 to 2 of 4 unframed, and its process ends and is back after <ms> ms
    And the next runner that is asked sends the rest of the stream in chunks
    Then <result>
    And the crash of the first runner's connection was noticed

    Examples:
      | route            | ms   | result                                               |
      | resumable stream | 100  | the client has the whole stream, of 2 runners        |
      | resumable stream | 2000 | the client has the whole stream, of 2 runners        |
      | run-once stream  | 100  | the client's answer of 1 runner was cut behind event 2 |
      | run-once stream  | 2000 | the client's answer of 1 runner was cut behind event 2 |

  Scenario Outline: A runner crashes inside an unframed body: <route>, back after <ms> ms
    Given a relay before runner processes, with a "<route>" route
    When a runner sends a part of an unframed body, and its process ends and is back after <ms> ms
    And the next runner that is asked sends the whole body with its length
    Then <result>
    And the crash of the first runner's connection was noticed

    Examples:
      | route  | ms   | result                                        |
      | safe   | 100  | the client has the whole body, of 2 runners   |
      | safe   | 2000 | the client has the whole body, of 2 runners   |
      | unsafe | 100  | the client has no whole answer, of 1 runner   |
      | keyed  | 2000 | the client has no whole answer, of 1 runner   |

  Scenario Outline: Only the connection of a whole unframed answer closes: <route>
    Given a relay before runner processes, with a "<route>" route
    When a runner sends the whole answer unframed and closes its connection in order
    Then the client has the whole <answer>, of 1 runner
    And the answer counts as proof that the runner survived the request

    Examples:
      | route            | answer |
      | run-once stream  | stream |
      | safe             | body   |
      | keyed            | body   |
      | unsafe           | body   |

  Scenario: Only the connection of a whole unframed stream closes that may be resumed
    Given a relay before runner processes, with a "resumable stream" route
    When a runner sends the whole answer unframed and closes its connection in order
    And the next runner that is asked sends the rest of the stream in chunks
    Then the client has the whole stream, of 2 runners

  Scenario: A runner crashes while a slow client has the reading of its unframed stream paused
    Given a relay before runner processes, with a "run-once stream" route
    When a runner sends events 1 to 2 of 4 unframed, and its process ends while the client's side has the answer paused
    Then the client's answer of 1 runner was cut behind event 2

  Scenario: A client leaves while the end of its unframed answer is being confirmed
    Given a relay before runner processes, with a "safe" route
    When a runner sends the whole answer unframed and closes, and the client leaves at once
    Then the request has ended once, as left

  Scenario Outline: A runner crashes behind a part of an item's unframed text, back after <ms> ms
    Given a relay before runner processes, with a "run-once stream" route
    When a runner sends events 1 to 2 of an item's text unframed, and its process ends and is back after <ms> ms
    Then the run of the item broke off with its connection, and has 2 texts

    Examples:
      | ms   |
      | 100  |
      | 2000 |

  Scenario: Only the connection of an item's whole unframed text closes
    Given a relay before runner processes, with a "run-once stream" route
    When a runner sends the whole text of an item unframed and closes its connection in order
    Then the end of the item's run is to be confirmed by another, and it has 4 texts
