Feature: The log tells why a hold has a trial or none

  # Guards against: an entry that stays in the list, of which no log says whether it may be tried.

  Scenario: A fatal body is held, tried and held again
    Given a fleet of 3 gateways whose runners crash when they run the fatal body
    And the fleet's log is kept
    When the fatal body is sent every 0.7 s for 25 s, at each gateway in turn
    Then each line on a hold tells whether it has a trial, the reason, and how many requests crashed
    And the last hold has no trial, since "trials_spent"
    And each line on a release tells for how long it was held
