Feature: Evidence that turns out to be of another cause is taken back

  Scenario: Crashes that a refuted hold has explained count against the other suspects again
    # Guards against: a part that crashes runners goes on for seconds, as a sound part beside it was
    # held, explained all crashes, and was cleared by an answer after that.
    Given 7 runners have crashed one after the other with a sound part, 4 of them with a fatal part too
    When the sound part is held, and an answer clears it
    Then the fatal part is due to be held

  Scenario Outline: Three crashes of young runs one after the other, <beside>
    # Guards against: a sound part that is held for 600 s without a trial, whether or not anything
    # beside its crashes tells that they may have another cause.
    Given 3 runners have crashed one after the other with a sound part, <beside>
    When the sound part is held
    Then the hold is on trial

    Examples:
      | beside                                                  |
      | and nothing else happened                               |
      | and another runner with other requests at the second    |
      | and another runner with other requests 5 s later        |
