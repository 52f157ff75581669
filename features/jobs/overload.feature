Feature: The order of items performs well on random loads, unlike those of any known deployment

  Four deployments are drawn at random for each row: 3 to 8 runners of 4 to 24 slots, items of 1 to
  6 s on average in events of 10 to 40 ms, due after three to five times that, bursts of 2 to 15 s.
  The baseline is earliest due time first, with items last that can't be in time by themselves.

  Scenario Outline: <traffic> traffic, and items that ask for <load> times what it leaves
    When four deployments with <traffic> traffic get items for <load> times what it leaves
    Then no item is left open
    And at least <percent> % as many items are in time as with what is due first going first

    Examples:
      | traffic | load | percent |
      | steady  | 0.8  | 99      |
      | steady  | 1.2  | 102     |
      | steady  | 1.6  | 106     |
      | stepped | 0.8  | 97      |
      | stepped | 1.2  | 99      |
      | stepped | 1.6  | 99      |
      | bursts  | 0.8  | 100     |
      | bursts  | 1.2  | 102     |
      | bursts  | 1.6  | 102     |
