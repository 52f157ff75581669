Feature: Controllers know the runners right after a power loss of the whole fleet

  Scenario: Runners are ready everywhere before they have reported again
    Given a relayed fleet of 2 zones with runners
    When 1 seconds of the fleet pass
    And every node loses power and starts again
    Then every node sends to zone-1 within 2 seconds

  Scenario: A power loss does not revive a runner that was draining
    Given a relayed fleet of 2 zones with runners
    When 1 seconds of the fleet pass
    And the runner of zone-1 reports to controller 2 that it is draining
    And every node loses power and starts again
    Then every node sends to zone-0 within 2 seconds
    And no node sends to zone-1 within 0.1 seconds

  Scenario: A controller whose disk is full acknowledges no report of draining, and the others do
    Given a relayed fleet of 2 zones with runners
    When 1 seconds of the fleet pass
    And the disk of controller 2 is full
    And the runner of zone-1 reports to controller 2 that it is draining
    Then that runner's report is acknowledged
    When the disk of controller 2 has space again
    And every node loses power and starts again
    Then no node sends to zone-1 within 2 seconds

  Scenario: A torn tail of the journal loses only the last record
    Given a journal of 20 runners whose last record is torn
    Then 19 runners are read back in order

  Scenario: A runner's warm-up time counts down while the power is off
    Given a journal of a runner that warms up for 3 seconds
    When it is read 1 seconds later
    Then the runner warms up for 2 seconds
    When it is read 60 seconds later
    Then the runner warms up for 0 seconds

  Scenario: A journal that grows is rewritten without loss
    Given a journal of 10 runners
    When each of them reports 2000 more times
    Then the journal holds less than 600 KiB and 10 runners are read back with their latest report

  Scenario: A damaged record loses only itself and is logged; a report of draining behind it is kept
    # Guards against: reading the journal only up to the damage. That dropped, without a log line, the
    # acknowledged reports of draining behind it, so that such a runner was ready again after a power
    # loss.
    Given a journal of 20 runners, the last of which is draining
    When a byte in the middle of the journal's record 5 is damaged
    Then runner 19 is read back as draining
    And 19 runners are read back, all but runner 5
    And the log of "runner_journal_damaged" says that 5 records were read before and 15 behind the damage

  Scenario: A torn tail is logged as such, not as damage
    Given a journal of 20 runners whose last record is torn
    When it is read and the log is captured
    Then the log has "runner_journal_torn" and no "runner_journal_damaged"
