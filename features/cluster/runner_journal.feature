Feature: Controllers know the runners right after a loss of all power

  Scenario: Runners are ready everywhere before they have spoken again
    Given a relayed fleet of 2 zones with runners
    When 1 seconds of the fleet pass
    And every node loses power and starts again
    Then every node sends to zone-1 within 2 seconds

  Scenario: A runner that left is not brought back by a loss of power
    Given a relayed fleet of 2 zones with runners
    When 1 seconds of the fleet pass
    And the runner of zone-1 says at controller 2 that it leaves
    And every node loses power and starts again
    Then every node sends to zone-0 within 2 seconds
    And no node sends to zone-1 within 0.1 seconds

  Scenario: A controller whose disk is full acknowledges no leaving, and the others do
    Given a relayed fleet of 2 zones with runners
    When 1 seconds of the fleet pass
    And the disk of controller 2 takes no more bytes
    And the runner of zone-1 says at controller 2 that it leaves
    Then its leaving is acknowledged
    When the disk of controller 2 takes bytes again
    And every node loses power and starts again
    Then no node sends to zone-1 within 2 seconds

  Scenario: A torn end of the journal costs what was written last and nothing else
    Given a journal of 20 runners whose last record is torn
    Then 19 runners are read back in order

  Scenario: The time that a runner warms up runs on while the power is off
    Given a journal of a runner that warms up for 3 seconds
    When it is read 1 seconds later
    Then the runner warms up for 2 seconds
    When it is read 60 seconds later
    Then the runner warms up for 0 seconds

  Scenario: A journal that grows is written anew, and nothing is lost
    Given a journal of 10 runners
    When each of them says 2000 times more how it is
    Then the journal holds less than 600 KiB and 10 runners are read back with their last word

  Scenario: A damaged record costs that one and is told; a leaving behind it is remembered
    # The journal was read up to the damage and the rest forgotten without a line, the acknowledged
    # words of runners that leave among it: such a runner was ready again after a loss of all power.
    Given a journal of 20 runners, the last of which leaves
    When a byte in the middle of the journal's record 5 is damaged
    Then runner 19 is read back as draining
    And 19 runners are read back, all but runner 5
    And the log of "runner_journal_damaged" says that 5 records lay before and 15 behind

  Scenario: A torn end is told as what it is
    Given a journal of 20 runners whose last record is torn
    When it is read with its log kept
    Then the log has "runner_journal_torn" and no "runner_journal_damaged"
