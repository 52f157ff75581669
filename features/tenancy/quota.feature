Feature: A tenant's quota applies to all gateways together, and no request within it is refused

  Scenario Outline: Clients that send far more than the limit are admitted up to it
    Given <gateways> gateways and a limit of <rate> a second and a burst of <burst>
    When clients ask <asked> times a second for 20 seconds
    Then no window exceeds the quota terms
    And at least <rate> a second were admitted

    Examples:
      | gateways | rate | burst | asked |
      | 49       | 100  | 100   | 500   |
      | 49       | 3    | 3     | 60    |
      | 190      | 100  | 100   | 800   |
      | 380      | 200  | 200   | 1500  |

  Scenario Outline: Varying traffic below the limit is admitted completely
    Given <gateways> gateways and a limit of <rate> a second and a burst of <rate>
    When clients ask <low> and <high> times a second alternately for 30 seconds
    Then no request within the limit was refused

    Examples:
      | gateways | rate | low | high |
      | 49       | 16   | 4   | 19   |
      | 190      | 100  | 24  | 119  |

  Scenario: While no allocator answers, gateways continue with their shares
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 60 times a second for 20 seconds, and after 10 seconds no allocator answers
    Then no window exceeds the quota terms
    And of the requests within the limit, at most 1 in 10 was refused

  Scenario: Gateways that have just started and know no allocator serve a large tenant by equal parts
    Given 49 gateways and a limit of 2000 a second and a burst of 2000
    When clients ask 200 times a second for 3 seconds before any allocator is known
    Then no request within the limit was refused

  Scenario: Excess load is held to the limit while the allocator changes
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 600 times a second for 20 seconds, and the allocator changes after 8 and 14 seconds
    Then no window exceeds the quota terms

  Scenario: Excess load is held to the limit while all gateways and the allocator restart
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 600 times a second for 12 seconds, and all processes are down from 6 to 7.5 seconds
    Then no window exceeds the quota terms

  Scenario: A partitioned gateway continues with its share, and the others keep to theirs
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 600 times a second for 15 seconds, and 5 gateways are partitioned after 5 seconds
    Then no window exceeds the quota terms

  Scenario: A lower limit applies to each window that begins after the change
    Given 49 gateways and a limit of 100 a second and a burst of 100
    When clients ask 300 times a second for 20 seconds, and after 5 seconds the limit is 20 and 20
    Then no window that begins after 5 seconds exceeds the new limit

  Scenario: A thousand random runs keep to the limit
    When a thousand random runs are made with excess load, lost allocators, partitions and restarts
    Then no window of these runs exceeds the quota terms

  Scenario: Refunds of requests that do not run let no more requests run than the limit
    When 300 such runs are made in which 30 of 100 admitted requests do not run
    Then no window of these runs exceeds the quota terms

  Scenario: A request that has not run does not count
    Given 1 gateways and a limit of 5 a second and a burst of 5
    When 10 requests are admitted and refunded one by one
    Then the next 5 requests are admitted

  Scenario: A request that has not run does not count at a gateway without an allocator
    # Guards against: requests refused for want of a runner use up the gateway's share, and later ones get 429.
    Given 1 gateways and a limit of 5 a second and a burst of 5
    When no allocator answers any more
    And 10 requests are admitted and refunded one by one
    Then 1 of the next 3 requests are admitted

  Scenario: A refund of what the allocator has granted does not add to the gateway's share
    # Guards against: more requests than the share allows, paid for by another bucket's refunds.
    Given 1 gateways and a limit of 5 a second and a burst of 5
    When 4 requests are admitted by the allocator, and refunded once none answers and the share is used up
    Then 0 of the next 3 requests are admitted

  Scenario: A refund at one gateway is soon available at the others
    # Guards against: a refused client that returns at another gateway is over a quota that nobody has used.
    Given 2 gateways and a limit of 1 a second and a burst of 1
    When 6 requests at gateway 1 are admitted at one moment and refunded
    And 0.2 seconds pass at the gateways
    Then 6 of 6 requests at gateway 2 are admitted

  Scenario: A request that no runner takes is refunded to the bucket that paid for it
    Given a relay without runners whose requests are admitted by the gateway's share
    When a client sends a request to that relay
    Then it is refused with 503, and refunded to the gateway's share once
