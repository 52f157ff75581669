Feature: Items run by due time while all can be in time; otherwise as few as possible are late

  Background:
    Given jobs that are due 20 s after their acceptance
    And items that typically run for 4 s

  Scenario: The earliest due time goes first
    When job "a" with 2 items is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    Then at second 6 the items go in the order "a0 a1 b0"

  Scenario: Items that can't be in time any more go last
    When job "a" with 2 items is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    Then at second 17 the items go in the order "b0 a0 a1"

  Scenario: An item that is nearly done can be in time when a fresh one can't
    When job "a" with 2 items is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    And item "a1" has run for 3 s and was put back
    Then at second 17 the items go in the order "a1 b0 a0"

  Scenario: Within a job, items that have begun go before fresh ones
    When job "a" with 3 items is accepted at second 0
    And item "a2" has run for 1 s and was put back
    Then at second 1 the items go in the order "a2 a0 a1"

  Scenario: Jobs without a due time go after all jobs that can be in time
    When job "a" with 1 item is accepted at second 0 without a due time
    And job "b" with 1 item is accepted at second 5
    Then at second 6 the items go in the order "b0 a0"

  Scenario: Items of a job that ended are dropped
    When job "a" with 1 item is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    And job "a" ends
    Then at second 6 the items go in the order "b0"

  Scenario: Under overload, as few items as possible are deferred as infeasible
    Given items get 2 slots on average
    When job "a" with 12 items is accepted at second 0
    And job "b" with 2 items is accepted at second 4
    Then at second 4 the items go in the order "a0 a1 a2 a3 a4 a5 a6 a7 a8 b0 b1 a9 a10 a11"

  Scenario: Under overload, items that have begun are finished
    Given items get 1 slot on average
    When job "a" with 4 items is accepted at second 0
    And item "a3" has run for 3 s and was put back
    Then at second 10 the items go in the order "a3 a0 a1 a2"

  Scenario: Deferred items run oldest first, after all that can be in time
    Given items get 1 slot on average
    When job "a" with 1 item is accepted at second 0
    And job "b" with 2 items is accepted at second 12
    And job "c" with 1 item is accepted at second 14
    Then at second 17 the items go in the order "b0 b1 c0 a0"

  Scenario: With enough slots no item is deferred
    Given items get 6 slots on average
    When job "a" with 12 items is accepted at second 0
    And job "b" with 2 items is accepted at second 4
    Then at second 4 the items go in the order "a0 a1 a2 a3 a4 a5 a6 a7 a8 a9 a10 a11 b0 b1"

  Scenario: While all items fit, the earliest due time goes first, even before shorter items
    Given items get 6 slots on average
    When job "a" with 2 items is accepted at second 0
    And job "b" with 1 item is accepted at second 1
    And item "b0" has run for 3 s and was put back
    Then at second 4 the items go in the order "a0 a1 b0"

  Scenario: Under overload, the shortest of the items that can be in time goes first
    Given items get 1 slot on average
    When job "a" with 5 items is accepted at second 0
    And job "b" with 1 item is accepted at second 1
    And item "b0" has run for 3 s and was put back
    Then at second 4 the items go in the order "b0 a0 a1 a2 a3 a4"
