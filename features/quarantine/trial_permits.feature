Feature: When the leader permits a trial

  A crash during a trial uses it up, whatever its cause, so trials wait for a time without crashes.

  Scenario Outline: A request that was held <times> times is released at 10 s, and <crashes>
    Given a leader of controllers since 0 s
    When a request that was held <times> times is released at 10 s
    And a runner crashes <crashes>
    Then its next trial is permitted at <permitted> s

    Examples:
      | times | crashes                           | permitted |
      | 1     | at no time                        | 11        |
      | 1     | at 10.5 s                         | 11.5      |
      | 1     | every 0.5 s                       | 15        |
      | 2     | at no time                        | 12        |
      | 2     | at 11 s                           | 13        |
      | 2     | every 0.5 s                       | 20        |
      | 3     | at no time                        | 14        |
      | 3     | at 13 s                           | 17        |
      | 3     | every 0.5 s                       | 70        |

  Scenario: Two requests are not tried at the same time
    # Guards against: a sound part's last trial that is spent by the trial of a fatal part which ran
    # at the same runner.
    Given a leader of controllers since 0 s
    When two requests that were held 1 times are released at 10 s
    Then their trials are permitted at 11 s and 13 s

  Scenario: A trial that clears its request lets the next one begin
    Given a leader of controllers since 0 s
    When two requests that were held 1 times are released at 10 s
    And the first of them is cleared 0.5 s after its trial began
    Then their trials are permitted at 11 s and 11.5 s

  Scenario: Crashes at the permits of two leaders count as two trials
    # Guards against: a fourth run of a fatal part, as one hold follows two trials that crash at once.
    Given a part that is on trial
    When 2 runners crash at once under its trials, and 1 more after the next hold
    Then the part may have no further trial

  Scenario: The hold that follows the last trial lasts, also if two of the trials crashed at once
    # Guards against: a fatal part that is released and tried again 10 s after its last trial, as if
    # nothing were known of its crashes.
    Given a part that is on trial
    When 2 runners crash at once under its trials, and 1 more after the next hold
    Then the next hold of the part is not one without evidence

  Scenario Outline: A controller started <before> s before the first of a part's crashes
    # Guards against: three trials after two late runs that no controller knows of any more.
    Given a controller that started <before> s before the first of a part's crashes
    When the part is held on weak evidence
    Then it is held <times> times before its first trial

    Examples:
      | before | times |
      | 1      | 3     |
      | 60     | 1     |
