Feature: The registry merges runners' reports from any source, in any order

  Scenario Outline: A late report does not revive a runner that drains or is gone
    Given a registry of runners
    When it hears of runner 1 "<first>" in report <one>
    And it hears of runner 1 "<second>" in report <two>
    Then runner 1 is "<known>"

    Examples:
      | first    | one | second   | two | known    |
      | ready    | 1   | draining | 2   | draining |
      | draining | 2   | ready    | 1   | draining |
      | draining | 2   | ready    | 3   | draining |
      | gone     | 2   | ready    | 3   | gone     |
      | ready    | 5   | gone     | 0   | gone     |

  Scenario: Reports merge to the same result in any order
    Given the reports of 3 runners in 200 random orders
    Then every order ends with the same registry

  Scenario: A new runner at an address replaces the former one
    Given a registry of runners
    When it hears of runner 1 "ready" in report 1
    And it hears of runner 7 at the address of runner 1
    Then runner 1 takes no work
    And runner 7 takes work

  Scenario: A runner that deregisters before its first report arrives stays gone
    Given a registry of runners
    When runner 1 says that it is gone
    And it hears of runner 1 "ready" in report 9
    Then runner 1 is "gone"

  Scenario: Only changes are passed on
    Given a registry of runners
    When it hears of runner 1 "ready" in report 1
    And it hears of runner 1 "ready" in report 2
    And it hears of runner 2 "ready" in report 1
    Then what changed since the first change is runner 2 alone

  Scenario: A late report of a crashed incarnation does not displace its successor
    Given a registry of runners
    When it hears of runner 7 at the address of runner 1
    And it hears of runner 1 "ready" in report 1
    And it hears again of runner 7 at the address of runner 1 in report 2
    Then runner 7 takes work
    And runner 1 takes no work

  Scenario: After a burst of reports delayed by a partition, the live runner is back with its next report
    Given a registry of runners
    When it hears of runner 7 at the address of runner 1
    And it hears of runner 1 "ready" in report 1
    And it hears of runner 1 "ready" in report 2
    And it hears of runner 1 "ready" in report 3
    Then runner 7 takes no work
    When it hears again of runner 7 at the address of runner 1 in report 2
    Then runner 7 takes work
    And runner 1 takes no work

  Scenario: A new warm-up is pushed to the nodes, and a remaining time that counts down is not
    Given a registry of runners
    When it hears of runner 1 in report 1 that it warms up for 3 seconds
    Then the change has to be pushed to the nodes
    When it hears of runner 1 in report 2 that it warms up for 1.8 seconds
    Then nothing has to be pushed to the nodes
    When it hears of runner 1 in report 3 that it warms up for 0 seconds
    Then nothing has to be pushed to the nodes
    When it hears of runner 1 in report 4 that it warms up for 3 seconds
    Then the change has to be pushed to the nodes

  Scenario: A warm-up counts down by the node's own clock
    Given a registry of runners whose service warms up for 3 seconds
    When it hears of runner 1 in report 1 that it warms up for 3 seconds
    And 2.9 seconds of the registry pass
    Then runner 1 may only get what is granted
    When 0.2 seconds of the registry pass
    Then runner 1 needs no grant

  Scenario: After a drain runners are assumed cold, and a report sent before does not end that
    Given a registry of runners whose service warms up for 3 seconds
    When it hears of runner 1 in report 1 that it warms up for 0 seconds
    And the drain of zone 1 begins and ends
    And it hears of runner 1 in report 2 that it warms up for 0 seconds
    Then runner 1 may only get what is granted
    When 3.1 seconds of the registry pass
    Then runner 1 needs no grant

  Scenario: A late message does not revert a newer order on a zone
    Given a registry of runners
    When it hears of runner 1 "ready" in report 1
    And it hears of order 2 that ends the drain of zone 1
    And it hears of order 1 that begins the drain of zone 1
    Then runner 1 takes work
    When it hears of order 3 that begins the drain of zone 1
    Then runner 1 takes no work
