Feature: While batch work has slack, slots stay free for returning online work

  Background:
    Given a service with 40 slots

  Scenario: Without online work items take every slot
    Given items need 5 slots to be in time
    Then 40 items may run at once

  Scenario: The recent peak of online work stays free after online work drops
    Given items need 5 slots to be in time
    When online work takes 30 slots at second 1
    And online work takes 4 slots at second 6
    Then 10 items may run at once

  Scenario: Items get the slots that they need to be in time
    Given items need 17.2 slots to be in time
    When online work takes 30 slots at second 1
    Then 18 items may run at once

  Scenario: No slots are reserved if not all items can be in time
    Given not all items can be in time
    When online work takes 30 slots at second 1
    Then any number of items may run at once

  Scenario: No slots are reserved if items need more than all of them
    Given items need 41 slots to be in time
    When online work takes 30 slots at second 1
    Then any number of items may run at once

  Scenario: A peak of online work expires
    Given items need 5 slots to be in time
    When online work takes 30 slots at second 1
    And online work takes 2 slots at second 14
    Then 38 items may run at once

  Scenario Outline: The tightest due time determines the slots that are needed
    When <items> items of 4 s are due in 20 s and <urgent> items of 4 s are due in 8 s
    Then the items need <slots> slots to be in time

    Examples:
      | items | urgent | slots |
      | 10    | 0      | 10    |
      | 10    | 2      | 12    |
      | 10    | 6      | 16    |

  Scenario: Items without a due time need slots too, as if due in 60 s
    When 30 items of 4 s are without a due time
    Then the items need 10 slots to be in time

  Scenario: An item whose due time has passed needs infinitely many slots
    When 1 items of 4 s are due in 0 s and 0 items of 4 s are due in 8 s
    Then the items need inf slots to be in time

  Scenario Outline: On random deployments a reserve lowers preemptions without losing items in time
    When four deployments with <traffic> traffic get items for <load> times what it leaves, with a reserve
    Then no item is left open
    And at most <cuts> % as many items give way as without a reserve
    And at least <percent> % as many items are in time as without a reserve

    Examples:
      | traffic | load | cuts | percent |
      | stepped | 0.3  | 95   | 100     |
      | stepped | 0.8  | 98   | 99      |
      | bursts  | 0.3  | 100  | 100     |
      | bursts  | 0.8  | 100  | 99      |
      | bursts  | 1.2  | 101  | 98      |
