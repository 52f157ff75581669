Feature: Real daemons under load and failures, checked by what their users observed

  Scenario: A site bears killed, paused, wiped and stopped processes
    When the fleet rig runs site "guayaquil" briefly with seed 1
    Then the rig run ends clean
    And the rig brought about every kind of its short list of failures
    And every accepted item of the rig run completed or was cancelled
    And the rig run completed requests of every class and turns of sessions
    And no process of the rig run is left
    When one result is taken out of the history of the rig run
    Then the checkers find that the history of the rig run lost an item

  Scenario: A rig that is killed leaves no process behind
    When the fleet rig of site "guayaquil" is killed while its processes start
    Then no process of the rig run is left

  Scenario: An unknown site is bad input
    When the fleet rig runs site "atlantis" briefly with seed 1
    Then the rig run ended with code 2 naming "expected all, guayaquil or taoyuan"
