Feature: Each part of which a run has gone on writing is cleared

  Guards against: a sound part that stays on trial or is held, as the survival of its run was not
  reported while another run's check of the same runner was pending.

  Scenario: The survival of two runs at one runner is reported for the parts of both
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And the parts "first01" and "second01" were held and are on trial
    When the ledger's leader sees a run of "first01" go on at a runner, and 0.1 s later one of "second01"
    And 2 s go by in that fleet
    Then none of the parts is on the list

  Scenario: A part whose run ends with its connection is not cleared by a later check
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And the parts "first01" and "second01" were held and are on trial
    When the ledger's leader sees a run of "first01" go on at a runner, and 0.1 s later one of "second01"
    And the connection of the run of "second01" ends
    And 2 s go by in that fleet
    Then only the part "second01" is on the list
