Feature: An accepted job is durable, and each of its items is listed exactly once

  Scenario: A job's items run and are listed in the order in which they end
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 3 items
    Then the job is accepted
    And 3 items run
    When the items' runs end whole, the last first
    Then the job's results are items 2, 1 and 0, each done
    And no item ran twice

  Scenario: A job handed in again is the same job
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 3 items
    And the other gateway hands in the same job
    Then the job is accepted
    And 3 items run
    And no item ran twice

  Scenario Outline: An accepted job outlives <loss>
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 2 items
    Then the job is accepted
    When <loss>
    Then the job can still be read
    And the body of an open item can be read

    Examples:
      | loss                                                       |
      | all storage nodes lose power and start again               |
      | the ledger's leader loses its disk and starts again        |
      | the ledger's leader loses its disk and the others power    |

  Scenario: A listed result keeps its position when the leader is lost
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 3 items
    And one item's run ends whole and is listed
    And the ledger's leader loses its disk for good
    And the other items' runs at the new leader end whole
    Then the listed result has kept its position, and 3 results are there

  Scenario: A run that breaks off is resumed after its last complete event
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 1 item
    And the item's run sends 2 events and breaks
    Then the item is sent again after event 2
    When the item's run sends event 3 and ends
    And a second run of the item begins with event 1 too
    Then the item's text has 3 events

  Scenario: Items are preempted for online work and run again afterwards
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 5 items
    Then 5 items run
    When a gateway reports 5 online requests at the runner
    Then 3 items run
    When a gateway reports 8 online requests at the runner
    Then no item runs
    When a gateway reports 0 online requests at the runner
    Then 5 items run

  Scenario: Items take every free slot, and keep their slots until a runner is overloaded
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 9 items
    Then 8 items run
    When a gateway reports 1 online requests at the runner
    And 1 second of the fleet passes
    Then 7 items run
    When a gateway reports 2 online requests at the runner
    Then 6 items run

  Scenario: A runner at which an item was just preempted gets no other item for a while
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 9 items
    Then 8 items run
    When a gateway reports 1 online requests at the runner
    Then 7 items run
    When a gateway reports 0 online requests at the runner and 0.3 seconds pass
    Then no other item has been started
    When 1 second of the fleet passes
    Then 8 items run

  Scenario Outline: An item that can't be done is given up after <attempts> answers of <status>
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 1 item
    And every run of the item is answered <status>
    Then the item is listed as given up after <attempts> runs

    Examples:
      | status | attempts |
      | 500    | 2        |
      | 422    | 1        |

  Scenario: No item of an ended job runs
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 3 items
    And a gateway ends the job
    Then no item runs
    And ending the job again is answered the same
    And nothing is sent any more

  Scenario: A partitioned leader refuses reads, since its state may be stale
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 3 items
    And the ledger's leader is cut off from the other storage nodes
    And 3 seconds of the fleet pass
    Then the cut-off leader refuses to read the job
    And the job can still be read

  Scenario: A new leader starts no items before it has received a report of online work
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 5 items
    Then 5 items run
    When the ledger's leader loses its disk for good
    And a gateway reports 8 online requests at the runner to the next leader
    And 2 seconds of the fleet pass
    Then no item was started by the new leader

  Scenario: A new leader counts the requests that a runner still has from the previous leader
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 9 items
    Then 8 items run
    When the runner answers nothing for now
    And the ledger's leader loses its disk for good
    And a gateway reports 0 online requests at the runner to the next leader
    And 2 seconds of the fleet pass
    Then the new leader has started 1 items
    When the runner answers the item and says that it runs 8 requests
    And 0.2 seconds of the fleet pass
    Then the new leader has started 1 items
    When 1.8 seconds of the fleet pass
    Then the new leader has started 2 items

  Scenario: No further item is sent to a runner that has not begun to answer the last one
    Given a relayed fleet with a table and a runner of 8 slots that answers nothing yet
    When a gateway hands in a job of 5 items
    Then 1 items run
    When the runner answers the item and says that it runs 1 requests
    And 0.5 seconds of the fleet pass
    Then 2 items run

  Scenario: Items start at a runner at intervals
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 5 items and 0.15 seconds pass
    Then no more than 2 items have been sent

  Scenario: A new leader resumes a run after its last progress note
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events and goes on
    And 1 second of the fleet passes
    And the ledger's leader loses its disk for good
    Then the item is sent again after event 3
    When the item's run sends event 4 and ends
    And a second run of the item begins with event 1 too
    Then the item's text has 4 events

  Scenario: Progress notes survive a power loss of all storage nodes
    Given a relayed fleet with a table and a runner of 8 slots
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events and goes on
    And 1 second of the fleet passes
    And all storage nodes lose power and start again
    Then the item is sent again after event 3

  Scenario: A leader that was suspended starts no items of a job that ended meanwhile
    Given a relayed fleet with a table and a runner of 8 slots
    And the runner takes no items for now
    When a gateway hands in a job of 3 items
    And the ledger's leader freezes, and a gateway ends the job at the next one
    And the runner takes items again while the frozen leader wakes
    Then the woken leader has sent nothing

  Scenario: A leader that is cut off from all controllers starts no items until it reaches them again
    Given a relayed fleet with a table and a runner of 8 slots
    When the ledger's leader is cut off from all controllers
    And 2 seconds of the fleet pass
    And a gateway hands in a job of 3 items
    Then no item runs
    When the ledger's leader reaches the controllers again
    Then 3 items run

  Scenario: A job that can't be in time any more doesn't delay one that can
    Given a relayed fleet with a table and a runner of 8 slots
    And the runner takes no items for now
    When a gateway hands in a job of 3 items
    And 6 seconds later a gateway hands in a second job of 2 items
    And the runner has room for 2 items
    Then the 2 items of the second job run, and none of the first

  Scenario: A leader that has just started knows the age of jobs
    Given a relayed fleet with a table and a runner of 8 slots
    And the runner takes no items for now
    When a gateway hands in a job of 12 items
    And 2 seconds of the fleet pass
    And all storage nodes lose power and start again
    And the runner takes no items for now
    And 2 seconds later a gateway hands in a second job of 3 items
    And the runner has room for 3 items
    Then the 3 items of the second job run, and none of the first

  Scenario: A run in which an event is missing is resumed after the event before the gap
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 1 item is accepted
    When the item's run sends events 1 and 3, of which 2 is missing
    Then the item runs again after event 1 and its text has each event once

  Scenario: The progress of a refused note is committed with the next one
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 1 item is accepted
    When the ledger's group refuses the next progress note
    And the item's run sends 3 events and goes on
    And 1 second of the fleet passes
    And the item's run goes on with events 4 to 5
    And 1 second of the fleet passes
    And the ledger's leader loses its disk for good
    Then the item is sent again after event 5
    When the item's run sends event 6 and ends
    And a second run of the item begins with event 1 too
    Then the item's text has 6 events

  Scenario Outline: An answer that is not an event stream adds nothing to an item's text and doesn't end it
    Given a relayed fleet with a table and a runner of 8 slots
    When a job of 1 item is accepted
    And the item's run sends 2 events and breaks
    Then the item is sent again after event 2
    When the item's run is answered <status> with "<body>", which is no stream
    Then the item is sent again after event 2
    When the item's run sends event 3 and ends
    And a second run of the item begins with event 1 too
    Then the item's text has 3 events

    Examples:
      | status | body  |
      | 200    | hello |
      | 200    |       |
      | 500    | sorry |
      | 503    | full  |
      | 404    |       |

  Scenario: Data without an event number can't be added to an item's text, so its run counts as broken
    Given a relayed fleet with a table and a runner of 8 slots
    When a job of 1 item is accepted
    And the item's run sends data without a number and event 2, and ends
    Then the item is sent again from its start

  Scenario: A stream without any event doesn't complete an item
    Given a relayed fleet with a table and a runner of 8 slots
    When a job of 1 item is accepted
    And the item's run sends the head of a stream and ends
    Then the item is sent again from its start

  Scenario: An item whose answer can't be parsed is retried with a growing backoff
    Given a relayed fleet with a table and a runner of 8 slots
    When a job of 1 item is accepted
    And every run of the item sends data without a number for 60 seconds
    Then the item ran between 4 and 14 times
