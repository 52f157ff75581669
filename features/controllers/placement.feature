Feature: Placement and roll-out of model versions
  The leader orders runners to load versions at a limited rate, and never takes away the
  last runner that serves.

  Scenario: Runners without a version are loaded a few at a time
    Given a placement with 6 runners of service reports wanting version v1
    When 60 seconds pass for the placement
    Then every runner of the placement answers with v1
    And the placement never had more than 2 loads under way
    And the placement reports service reports as ready at its generation

  Scenario: Only as many runners are loaded as the service wants
    Given a placement with 6 runners of service reports of which 4 are wanted at version v1
    When 60 seconds pass for the placement
    Then 4 runners of the placement answer with v1

  Scenario: A roll-out leaves runners that answer at every moment
    Given a placement whose 6 runners answer with v1
    When the placement's service moves to version v2
    And 5 seconds pass for the placement
    Then the placement reports a roll-out of the service's generation
    When 60 seconds pass for the placement
    Then every runner of the placement answers with v2
    And at least 4 runners of the placement answered at every moment
    And the placement never had more than 2 loads under way
    And the placement reports no roll-out any more

  Scenario: The second of two runners waits for the first
    Given a placement whose 2 runners answer with v1
    When the placement's service moves to version v2
    And 60 seconds pass for the placement
    Then every runner of the placement answers with v2
    And at least 1 runners of the placement answered at every moment

  Scenario: The only runner that serves is never switched
    Given a placement whose 1 runners answer with v1
    When the placement's service moves to version v2
    And 60 seconds pass for the placement
    Then every runner of the placement answers with v1
    And the placement reports a roll-out of the service's generation

  Scenario: A runner without a version is preferred to one that serves
    Given a placement whose 1 runners answer with v1
    When one more runner is declared to the placement
    And the placement's service moves to version v2
    And 5 seconds pass for the placement
    Then the placement loads the new runner and leaves the old one
    When 60 seconds pass for the placement
    Then every runner of the placement answers with v2

  Scenario: A slow weight store stalls the roll-out, not the service
    Given a placement whose 6 runners answer with v1
    And the placement's weight store takes 100000 seconds for a load
    When the placement's service moves to version v2
    And 3600 seconds pass for the placement
    Then 4 runners of the placement answer with v1
    And the placement never had more than 2 loads under way

  Scenario: A version that never becomes ready stops at the first runners
    Given a placement whose 6 runners answer with v1
    And version v2 never becomes ready for the placement
    When the placement's service moves to version v2
    And 3600 seconds pass for the placement
    Then 4 runners of the placement answer with v1

  Scenario: A stalled service does not hold up another
    Given a placement whose 6 runners answer with v1
    And version v2 never becomes ready for the placement
    When the placement's service moves to version v2
    And a second service with 3 runners is declared to the placement
    And 900 seconds pass for the placement
    Then every runner of the placement's second service answers

  Scenario: Broken runners do not hold up those that can serve
    Given a placement whose 2 runners answer with v1
    And 2 broken runners are declared to the placement
    When 900 seconds pass for the placement
    And the placement's service moves to version v2
    And 900 seconds pass for the placement
    Then 2 runners of the placement answer with v2

  Scenario: The operator reverts to the old version in the middle of a roll-out
    Given a placement whose 6 runners answer with v1
    When the placement's service moves to version v2
    And 15 seconds pass for the placement
    Then some but not all runners of the placement answer with v2
    When the placement's service moves to version v1
    And 1 seconds pass for the placement
    Then no runner of the placement is loading v2
    When 60 seconds pass for the placement
    Then every runner of the placement answers with v1
    And at least 3 runners of the placement answered at every moment

  Scenario: A command refused because of a concurrent change is planned again
    Given a placement whose 6 runners answer with v1
    And another writer gets ahead of the placement's next 3 commands
    When the placement's service moves to version v2
    And 60 seconds pass for the placement
    Then every runner of the placement answers with v2
    And the placement was refused 3 times

  Scenario: An undeclared version is not loaded
    Given a placement with 2 runners of service reports wanting version v1
    And the placement's service names a version that is not declared
    When 60 seconds pass for the placement
    Then no runner of the placement was ordered to load anything
    And the placement reports service reports as not ready

  Scenario: Adapters are changed on a few runners at a time
    Given a placement whose 6 runners answer with v1
    When adapter customs is declared to the placement
    And 2 seconds pass for the placement
    Then 2 runners of the placement are ordered to have the adapter
    When 60 seconds pass for the placement
    Then 6 runners of the placement are ordered to have the adapter
    And at least 6 runners of the placement answered at every moment

  Scenario: No orders are sent once the leadership is lost
    Given a placement whose 6 runners answer with v1
    When the placement's replica loses the leadership
    And the placement's service moves to version v2
    And 60 seconds pass for the placement
    Then every runner of the placement answers with v1
    When the placement's replica wins the leadership
    And 60 seconds pass for the placement
    Then every runner of the placement answers with v2
