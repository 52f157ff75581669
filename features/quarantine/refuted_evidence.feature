Feature: Evidence that turns out to be of another cause is taken back

  Scenario: Crashes that a refuted hold has explained count against the other suspects again
    # Guards against: a part that crashes runners goes on for seconds, as a sound part beside it was
    # held on strong evidence, explained all crashes, and was cleared by an answer after that.
    Given 7 runners have crashed one after the other with a sound part, 4 of them with a fatal part too
    When the sound part is held, and an answer clears it
    Then the fatal part is due to be held

  Scenario Outline: Three crashes of young runs one after the other, <beside>
    # Guards against: a sound part that is held for 600 s as runners reset its requests and crashed
    # within 0.5 s, or beside crashes of idle runners, which nobody's requests tell of.
    Given 3 runners have crashed one after the other with a sound part, <beside>
    When the sound part is held
    Then the hold is <kind>

    Examples:
      | beside                                                  | kind         |
      | and nothing else happened                               | not on trial |
      | one of them after its request had been reset            | on trial     |
      | and an idle runner at the second crash                  | on trial     |
      | and an idle runner 5 s later                            | not on trial |
      | one of them found crashed by a node without requests    | not on trial |
