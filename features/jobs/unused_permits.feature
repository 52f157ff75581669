Feature: A permit for a trial goes to a request that can use it

  Guards against: items of a held part that wait 8 s for each permit that a gateway got for a request
  which no runner takes.

  Scenario: Requests that no runner takes use up no permit
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And the parts "shared01" and "other01" were held and are on trial
    When 1.5 s go by in that fleet
    And all its runners stop as planned, to start again 1.5 s later
    And each gateway gets a request with the part "shared01"
    And 1 s go by in that fleet
    And a job of 4 items with the parts "shared01" is handed in
    And 5 s go by in that fleet
    Then all items of the last job are done

  Scenario: The permit of an item is used although other items are more urgent
    Given a fleet of 3 gateways and 4 runners with 2 slots each
    And answers to its items have 10 events
    And the fleet's log is kept
    And sound clients send 8 requests a second with prompts "zz01:40,own{n}:9"
    When 1 s go by in that fleet
    And a job of 60 items with the parts "urgent01" is handed in
    And the part "first01" is held and put on trial
    And the part "second01" is held and put on trial
    And a job of 4 items with the parts "first01" is handed in
    And a job of 4 items with the parts "second01" is handed in
    And 20 s go by in that fleet
    Then each permit for a trial was used by a run
