Feature: Drained runners, finished jobs and departed gateways

  Scenario: A drained runner is marked as draining until the drain is undone
    Given a placement whose 3 runners answer with v1
    When the placement's first runner is drained
    And 2 seconds pass for the placement
    Then the placement's first runner is marked as draining and not ready
    When the placement's first runner is no longer drained
    And 2 seconds pass for the placement
    Then the placement's first runner is no longer marked as draining

  Scenario: A runner whose machine is leaving does not count as serving
    Given a placement whose 2 runners answer with v1
    And the placement's machine list says that the first runner's machine is leaving
    When the placement's service moves to version v2
    And 60 seconds pass for the placement
    Then every runner of the placement answers with v1
    And the placement's first runner is marked as draining and not ready

  Scenario: An outdated machine list is followed once it is updated
    Given a placement whose 3 runners answer with v1
    When the placement's first runner dies and the machine list still calls it live
    And the placement's service moves to version v2
    And 60 seconds pass for the placement
    Then the other runners of the placement answer with v2
    And the placement's first runner is not marked as draining
    When the placement's machine list learns that the first runner's machine is gone
    And 5 seconds pass for the placement
    Then the placement's first runner is marked as draining and not ready

  Scenario: Finished jobs are deleted after their retention
    Given controllers that keep finished jobs 1000 seconds and open ones 500 seconds
    And the controllers' state has a finished, a cancelled, an open and an accepted job
    When 400 seconds pass for the controllers
    Then the controllers' state still has all 4 jobs
    When 200 seconds pass for the controllers
    Then the controllers' state has lost only the open job
    When 600 seconds pass for the controllers
    Then the controllers' state has the accepted job only

  Scenario: A new leader restarts the retention periods
    Given controllers that keep finished jobs 1000 seconds and open ones 500 seconds
    And the controllers' state has a finished, a cancelled, an open and an accepted job
    When 400 seconds pass for the controllers
    And another leader takes over from the controllers
    And 400 seconds pass for the controllers
    Then the controllers' state still has all 4 jobs

  Scenario: The resource of a gateway without contact is deleted after its retention
    Given controllers that keep gateways without contact 300 seconds
    And two gateways of which only one contacts the controllers
    When 200 seconds pass for the controllers
    Then the controllers' state has both gateways
    When 400 seconds pass for the controllers
    Then the controllers' state has only the gateway in contact

  Scenario: Gateways are kept while their last contact is unknown
    Given controllers that keep gateways without contact 300 seconds
    And two gateways whose last contact the controllers don't know
    When 4000 seconds pass for the controllers
    Then the controllers' state has both gateways
