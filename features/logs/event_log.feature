Feature: A daemon's log tells what happened, within a budget, and keeps the rest for a dump

  Scenario: Lines over the budget of a second are counted, and kept in the ring
    Given an event log with a budget of 3 lines a second and a ring
    When 5 events "item_sent" and one event "item_ended" come within a second
    Then 4 lines are written, and the ring holds all 6
    When an event "item_sent" comes a second later
    Then its line says that 2 were left out

  Scenario: A reader that stalls costs lines and nothing else
    Given an event log whose reader has stalled
    When 5 events "item_sent" and one event "item_ended" come within a second
    Then no line is written, 6 are counted as lost, and the ring holds all 6

  Scenario: What nobody handled is one structured line
    When a daemon's timer raises "no such item" and a Deferred fails with "no such job" unhandled
    Then its standard output has a line "unhandled_error" for each, with the place where it arose
    And nothing is on its standard error

  Scenario: A fatal end dumps the ring into the data folder
    When a daemon logs 2 events and then a fatal one
    Then the data folder holds a dump of those 3 events
