Feature: Evidence that turns out to be of another cause is taken back

  Scenario: Crashes that a refuted hold has explained count against the other suspects again
    # Guards against: a part that crashes runners goes on for seconds, as a sound part beside it was
    # held on strong evidence, explained all crashes, and was cleared by an answer after that.
    Given 7 runners have crashed one after the other with a sound part, 4 of them with a fatal part too
    When the sound part is held, and an answer clears it
    Then the fatal part is due to be held
