Feature: Items go by urgency: those that can be in time before those that can't, then by due time

  Background:
    Given jobs that are due 20 s after their acceptance
    And items that typically run for 4 s

  Scenario: What is due first goes first
    When job "a" with 2 items is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    Then at second 6 the items go in the order "a0 a1 b0"

  Scenario: What can't be in time any more goes last
    When job "a" with 2 items is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    Then at second 17 the items go in the order "b0 a0 a1"

  Scenario: An item that has run for long can be in time where a fresh one can't
    When job "a" with 2 items is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    And item "a1" has run for 3 s and was put back
    Then at second 17 the items go in the order "a1 b0 a0"

  Scenario: Of one job, what has begun goes before what is fresh
    When job "a" with 3 items is accepted at second 0
    And item "a2" has run for 1 s and was put back
    Then at second 1 the items go in the order "a2 a0 a1"

  Scenario: Jobs without a due time go last of those that are in time
    When job "a" with 1 item is accepted at second 0 without a due time
    And job "b" with 1 item is accepted at second 5
    Then at second 6 the items go in the order "b0 a0"

  Scenario: Items of a job that ended are dropped
    When job "a" with 1 item is accepted at second 0
    And job "b" with 1 item is accepted at second 5
    And job "a" ends
    Then at second 6 the items go in the order "b0"
