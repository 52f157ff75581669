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

  Scenario: A new runner at an address ends the one before it
    Given a registry of runners
    When it hears of runner 1 "ready" in word 1
    And it hears of runner 7 at the address of runner 1
    Then runner 1 is "gone"
    And runner 7 is "ready"

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
