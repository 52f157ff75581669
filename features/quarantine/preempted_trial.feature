Feature: A trial of a held item is not preempted before it has shown something

  # Guards against: an item's trial that is preempted 0.1 s after its beginning as clients need its
  # slot, so that its items wait 8 s for the next permit.

  Scenario: Clients need the slot at which the trial runs
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And answers to its items have 80 events
    And sound clients send 40 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When 5 s go by in that fleet
    And 1 jobs of 4 items with the part "shared01" are handed in
    And 0.5 s go by in that fleet
    And the runners of the next 0 trials crash 0.2 s after their beginning
    And its runners crash as follows, those with items first: 5 at once
    Then the part "shared01" is cleared by its first trial
    And all items of the jobs are done within 18 s of the last crash
