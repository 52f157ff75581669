Feature: The log analysis shows where items and requests spent their time

  Background:
    Given a log in which job "a" with items "a1 a2" is accepted at second 10

  Scenario: An item's time is split into waiting, running, and waiting after a preemption
    When item "a1" runs at "r1" from second 12 to 14 and is preempted after event 20
    And item "a1" runs at "r2" from second 17 to 18 after event 20 and ends
    Then of item "a1" 2 s are waiting, 3 s running and 3 s waiting after preemptions
    And 1 run was preempted, 0 moved immediately and 0 events were repeated

  Scenario: A preemption that only moved an item is counted, with the repeated events
    When item "a1" runs at "r1" from second 12 to 14 and is preempted after event 20
    And item "a1" runs at "r2" from second 14.2 to 18 after event 15 and ends
    Then 1 run was preempted, 1 moved immediately and 5 events were repeated

  Scenario: A run that was lost with its leader ends at the leader's last log line
    When item "a1" starts at "r1" at second 12 and its leader logs its last line at second 13
    And a new leader begins at second 15
    And item "a1" runs at "r2" from second 16 to 20 and ends
    Then of item "a1" 2 s are waiting, 5 s running and 0 s waiting after preemptions
    And 3 s were spent waiting after an interruption

  Scenario: Items in time and the bound on them
    When item "a1" runs at "r1" from second 12 to 20 and ends
    And item "a2" runs at "r1" from second 20 to 25 and ends
    Then with 12 s for a job and 1 slot 1 of at most 1 item is in time
    And with 12 s for a job and 2 slots 1 of at most 2 items is in time
    And with 9 s for a job and 1 slot 0 of at most 1 item is in time

  Scenario: Slots in each second
    When item "a1" runs at "r1" from second 12 to 13.5 and ends
    And a request that took 800 ms at "r1" ends at second 13.8 after a first event at 200 ms
    And a request that took 800 ms at "r9" ends at second 13.8 after a first event at 200 ms
    Then in second 12 items take 1.0 and online work 0.0 slots
    And in second 13 items take 0.5 and online work 0.8 slots

  Scenario: Requests by route and reason
    When a request that took 800 ms at "r1" ends at second 13.8 after a first event at 200 ms
    And a request is refused at second 14 because of "the runner refused with 503"
    Then of the route's requests 1 was completed and 1 refused because of "the runner refused with 503"

  Scenario: A truncated line is reported, and the rest is analysed
    When item "a1" runs at "r1" from second 12 to 18 and ends
    And the log's last line is truncated
    Then the command ends with code 1 and reports the damaged line 4
    And it still reports 1 item that is done

  Scenario Outline: <damage> is reported
    When the log has the line <line>
    Then the command ends with code 1 and reports the damaged line 2

    Examples:
      | damage                  | line                                 |
      | a line without a time   | {"event": "item_sent", "item": "a1"} |
      | an invalid time         | {"at": "noon", "event": "item_sent"} |
      | a line without an event | {"at": "00:00:10.000", "item": "a1"} |

  Scenario: Lines of other programs are skipped
    When the log has the line built in 8.6 s; 69700 lines
    Then the command ends with code 0

  Scenario: A missing file
    Then the command on a missing file ends with code 2

  Scenario: A plot is written
    When item "a1" runs at "r1" from second 12 to 18 and ends
    Then the command writes a PNG file

  Scenario: A log over midnight stays in order
    Given a log in which job "a" with items "a1" is accepted at second 86399
    When item "a1" runs at "r1" from second 86399.5 to 86401 and ends
    Then of item "a1" 0.5 s are waiting, 1.5 s running and 0 s waiting after preemptions
