Feature: Runners whose answers never end exhaust no process of small machines

  Scenario Outline: Answers that are <kind> without end
    Given a platform of small machines with 2 sound runners, and 2 that answer with <kind> without end
    When the faulty service gets 40 requests for a <route>
    And the faulty runners have begun at least 40 answers
    And ordinary requests are answered beside it
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory

    Examples:
      | kind                     | route  |
      | an event                 | stream |
      | an event without framing | stream |
      | a body in tiny chunks    | safe   |
