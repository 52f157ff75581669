Feature: A tenant's quota holds over all gateways together, and nothing within it is refused

  Scenario Outline: Clients that press far beyond the limit are admitted up to it
    Given <gateways> gateways and a limit of <rate> a second and a burst of <burst>
    When clients ask <asked> times a second for 20 seconds
    Then no window is over what the terms allow
    And at least <rate> a second were admitted

    Examples:
      | gateways | rate | burst | asked |
      | 49       | 100  | 100   | 500   |
      | 49       | 3    | 3     | 60    |
      | 190      | 100  | 100   | 800   |
      | 380      | 200  | 200   | 1500  |

  Scenario Outline: Traffic that swings below the limit is admitted whole
    Given <gateways> gateways and a limit of <rate> a second and a burst of <rate>
    When clients ask <low> and <high> times a second by turns for 30 seconds
    Then nothing that the limit allows was refused

    Examples:
      | gateways | rate | low | high |
      | 49       | 16   | 4   | 19   |
      | 190      | 100  | 24  | 119  |

  Scenario: While no keeper answers, gateways go on with their shares
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 60 times a second for 20 seconds, and after 10 seconds no keeper answers
    Then no window is over what the terms allow
    And of what the limit allows at most 1 in 10 was refused

  Scenario: Gateways that have just started and know no keeper serve a large tenant by equal parts
    Given 49 gateways and a limit of 2000 a second and a burst of 2000
    When clients ask 200 times a second for 3 seconds before any keeper is known
    Then nothing that the limit allows was refused

  Scenario: Clients that press while keepers change are held to the limit
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 600 times a second for 20 seconds, and the keeper changes after 8 and 14 seconds
    Then no window is over what the terms allow

  Scenario: Clients that press while all gateways and the keeper start anew are held to the limit
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 600 times a second for 12 seconds, and all is dark from 6 to 7.5 seconds
    Then no window is over what the terms allow

  Scenario: A gateway that is cut off goes on with its share, and the others keep to theirs
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 600 times a second for 15 seconds, and 5 gateways are cut off after 5 seconds
    Then no window is over what the terms allow

  Scenario: A lower limit holds one window after it is in force
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 300 times a second for 20 seconds, and after 5 seconds the limit is 20 and 20
    Then no window that begins after 5 seconds is over what the new limit allows

  Scenario: A thousand drawn courses keep to the limit
    When a thousand courses are drawn of pressing clients, lost keepers, cuts and restarts
    Then in none of them a window is over what the terms allow

  Scenario: What has not run does not count
    Given 1 gateways and a limit of 5 a second and a burst of 5
    When 10 requests are admitted and given back again one by one
    Then the next 5 requests are admitted
