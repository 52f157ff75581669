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
