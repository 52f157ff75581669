Feature: A runner's backoff grows with its consecutive failed runs

  Guards against two failures. A long backoff after a single broken run starves jobs: in the process
  soak, 4 runs in 100 break, and with 1.5 s after each, 100 to 190 of some 550 accepted jobs were
  unfinished 40 s after the last fault, on each seed; with 0.05 s on a trial copy none was. Without a
  backoff after answers of 500, a runner that fails each item at once always has free slots, attracts
  item after item and uses up their attempts.

  Scenario: Broken runs take no slots away from the other items
    Given a relayed fleet with a table and 1 runner that answers nothing yet
    And a job of 100 items is handed in
    # A start each 0.1 s: the job takes 10 s without any broken run.
    When every 12th run breaks, and the others take 0.4 s
    Then the job is finished within 15 seconds

  Scenario: A runner that breaks every run is probed at intervals
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And a job of 100 items is handed in
    When runner 1 breaks every run at once, and runner 2 takes 0.4 s, for 10 seconds
    Then runner 1 was sent at most 12 items

  Scenario: A runner that can't be reached is probed at intervals
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

  Scenario: An item that fails is retried at the only runner
    Given a relayed fleet with a table and 1 runner that answers nothing yet
    And a job of 1 item is handed in
    When the runner answers 500 to the first run, and the second one takes 0.4 s
    Then every result of the job is done

  Scenario: A runner at which all runs break at once reaches the maximum backoff
    Given a relayed fleet with a table and 1 runner that answers nothing yet
    And a job of 40 items is handed in
    When 8 items run and all their runs break at the same time
    Then the runner is sent nothing for 1.4 seconds
