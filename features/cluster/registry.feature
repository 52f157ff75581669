Feature: The registry merges runners' words from anywhere, in any order

  Scenario Outline: A runner that leaves never comes back by a late word
    Given a registry of runners
    When it hears of runner 1 "<first>" in word <one>
    And it hears of runner 1 "<second>" in word <two>
    Then runner 1 is "<known>"

    Examples:
      | first    | one | second   | two | known    |
      | ready    | 1   | draining | 2   | draining |
      | draining | 2   | ready    | 1   | draining |
      | draining | 2   | ready    | 3   | draining |
      | gone     | 2   | ready    | 3   | gone     |
      | ready    | 5   | gone     | 0   | gone     |

  Scenario: Words merge to the same whatever their order
    Given the words of 3 runners in 200 random orders
    Then every order ends with the same registry

  Scenario: A new runner at an address takes the place of the one before it
    Given a registry of runners
    When it hears of runner 1 "ready" in word 1
    And it hears of runner 7 at the address of runner 1
    Then runner 1 takes no work
    And runner 7 takes work

  Scenario: A runner that is gone before it was heard of stays gone
    Given a registry of runners
    When runner 1 says that it is gone
    And it hears of runner 1 "ready" in word 9
    Then runner 1 is "gone"

  Scenario: Only changes are told on
    Given a registry of runners
    When it hears of runner 1 "ready" in word 1
    And it hears of runner 1 "ready" in word 2
    And it hears of runner 2 "ready" in word 1
    Then what changed since the first change is runner 2 alone

  Scenario: A late word of a crashed incarnation does not end the one that came after it
    Given a registry of runners
    When it hears of runner 7 at the address of runner 1
    And it hears of runner 1 "ready" in word 1
    And it hears again of runner 7 at the address of runner 1 in word 2
    Then runner 7 takes work
    And runner 1 takes no work

  Scenario: Words held back by a cut come in a bunch, and the living one is back with its next word
    Given a registry of runners
    When it hears of runner 7 at the address of runner 1
    And it hears of runner 1 "ready" in word 1
    And it hears of runner 1 "ready" in word 2
    And it hears of runner 1 "ready" in word 3
    Then runner 7 takes no work
    When it hears again of runner 7 at the address of runner 1 in word 2
    Then runner 7 takes work
    And runner 1 takes no work

  Scenario: A runner that warms up again is news, and one whose time runs down is not
    Given a registry of runners
    When it hears of runner 1 in word 1 that it warms up for 3 seconds
    Then that is news
    When it hears of runner 1 in word 2 that it warms up for 1.8 seconds
    Then that is no news
    When it hears of runner 1 in word 3 that it warms up for 0 seconds
    Then that is no news
    When it hears of runner 1 in word 4 that it warms up for 3 seconds
    Then that is news

  Scenario: A warm-up runs down by the node's own clock
    Given a registry of runners whose service warms up for 3 seconds
    When it hears of runner 1 in word 1 that it warms up for 3 seconds
    And 2.9 seconds of the registry pass
    Then runner 1 may only get what is granted
    When 0.2 seconds of the registry pass
    Then runner 1 needs no grant

  Scenario: The end of a drain presumes a warm-up, and a word sent before it does not end that
    Given a registry of runners whose service warms up for 3 seconds
    When it hears of runner 1 in word 1 that it warms up for 0 seconds
    And the drain of zone 1 begins and ends
    And it hears of runner 1 in word 2 that it warms up for 0 seconds
    Then runner 1 may only get what is granted
    When 3.1 seconds of the registry pass
    Then runner 1 needs no grant

  Scenario: A late message does not take a newer order on a zone back
    Given a registry of runners
    When it hears of runner 1 "ready" in word 1
    And it hears of order 2 that ends the drain of zone 1
    And it hears of order 1 that begins the drain of zone 1
    Then runner 1 takes work
    When it hears of order 3 that begins the drain of zone 1
    Then runner 1 takes no work
