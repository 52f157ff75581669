Feature: A run that fails rests its runner no longer than it tells of the runner

  In the process soak 4 runs of items in 100 break, and each took its runner away from all items for 1.5 s:
  100 to 190 of some 550 accepted jobs were not finished 40 s after the last fault, on each seed played.
  With the rest cut to 0.05 s on a trial copy none was left. So one broken run says little of a runner;
  several in a row say much. Answers of 500 rested nobody at all: a runner that fails each item at once
  has free slots at all times, drew item after item, and used up their attempts.

  Scenario: Broken runs take no slots away from the other items
    Given a relayed fleet with a table and 1 runner that answers nothing yet
    And a job of 100 items is handed in
    # A start each 0.1 s: the job takes 10 s without any broken run.
    When every 12th run breaks, and the others take 0.4 s
    Then the job is finished within 15 seconds

  Scenario: A runner that breaks every run is tried now and then
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And a job of 100 items is handed in
    When runner 1 breaks every run at once, and runner 2 takes 0.4 s, for 10 seconds
    Then runner 1 was sent at most 12 items

  Scenario: A runner that can't be reached is tried now and then
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And a job of 100 items is handed in
    When runner 1 can't be reached, and runner 2 takes 0.4 s, for 10 seconds
    Then runner 1 was sent at most 12 items

  Scenario: A runner that fails every item uses up no item's attempts
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And a job of 60 items is handed in
    When runner 1 answers 500 at once to every item, and runner 2 takes 0.4 s, for 10 seconds
    Then runner 1 was sent at most 12 items
    And every result of the job is done

  Scenario: An item that fails is tried again by the only runner there is
    Given a relayed fleet with a table and 1 runner that answers nothing yet
    And a job of 1 item is handed in
    When the runner answers 500 to the first run, and the second one takes 0.4 s
    Then every result of the job is done

  Scenario: A runner at which all runs break at once rests as long as before
    Given a relayed fleet with a table and 1 runner that answers nothing yet
    And a job of 40 items is handed in
    When 8 items run and all their runs break at the same time
    Then the runner is sent nothing for 1.4 seconds
