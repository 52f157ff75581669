Feature: A hold on weak evidence does not clear the other suspects of its crashes

  # Guards against: a part that crashes runners went on for seconds, as a sound part beside more of
  # its crashes was held first and explained all of them.

  Scenario: The part with fewer crashes is held next
    Given 7 runners have crashed with a sound part, 5 of them with a fatal part too, while answers clear others
    When the part with the most crashes is held on weak evidence
    Then the fatal part is due to be held

  Scenario: A crash of a run that was under way at the hold does not count as a trial
    Given 7 runners have crashed with a sound part, 5 of them with a fatal part too, while answers clear others
    When the part with the most crashes is held on weak evidence and released for a trial
    And a runner crashes under its run that was sent before the release
    Then the sound part is not due to be held
    When a runner crashes under its run that was sent after the release
    Then the sound part is due to be held
