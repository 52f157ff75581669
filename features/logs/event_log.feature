Feature: A daemon's event log is rate-limited, and a ring buffer keeps the rest for a dump

  Scenario: Lines over the limit per second are counted, and kept in the ring
    Given an event log with a limit of 3 lines per second and a ring
    When 5 events "item_sent" and one event "item_ended" are logged within a second
    Then 4 lines are written, and the ring holds all 6
    When an event "item_sent" is logged a second later
    Then its line says that 2 were left out

  Scenario: A stalled reader causes lines to be dropped, without blocking or raising
    Given an event log whose reader has stalled
    When 5 events "item_sent" and one event "item_ended" are logged within a second
    Then no line is written, 6 are counted as lost, and the ring holds all 6

  Scenario: Each unhandled error becomes one structured line
    When a daemon's timer raises "no such item" and a Deferred fails with "no such job" unhandled
    Then its standard output has a line "unhandled_error" for each, with its traceback
    And nothing is on its standard error

  Scenario: A fatal error dumps the ring into the data folder
    When a daemon logs 2 events and then a fatal one
    Then the data folder holds a dump of those 3 events
