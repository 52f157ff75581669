Feature: Batch item leases and quota shares in the leader's memory

  Background:
    Given a control fleet of 3 replicas with gateways g1
    And a sealed job of 6 items in the control fleet

  Scenario: A holder that stops renewing loses its items, one that renews keeps them
    When holders h1 and h2 lease 3 items each from the control fleet
    And only h1 renews its item leases for 15 seconds
    Then the control fleet has revoked the items of h2 but not those of h1
    And holder h2 is ordered by the control fleet to stop all its items

  Scenario: A new leader gives every holder a full period
    When holders h1 and h2 lease 3 items each from the control fleet
    And the control fleet runs 8 seconds
    And the control fleet elects r2
    And the control fleet runs 9 seconds
    Then the control fleet has revoked no items
    When the control fleet runs 2 seconds
    Then the control fleet has revoked the items of h1 and h2

  Scenario: A renewal tells a holder to stop the items of a cancelled job
    When holders h1 and h2 lease 3 items each from the control fleet
    And the control fleet's job is cancelled
    Then holder h1 is ordered by the control fleet to stop all its items

  Scenario: Items whose lease answer was lost are given back though their holder renews
    When holders h1 and h2 lease 3 items each from the control fleet
    And h1 renews for 15 seconds without naming its items
    Then the control fleet has given back the items of h1

  Scenario: A tenant's granted and minimum shares never sum to more than its rate
    Then over many control reports, lost replies and leader changes no sum of shares exceeds the rate

  Scenario: The check of quota sums detects a new leader that grants shares at once
    Given the control fleet has the quota defect "lend-at-once"
    Then the check of control quota sums fails

  Scenario: Shares follow demand
    When gateway a reports 300 tokens a second to the control fleet and gateway b 100
    Then the control fleet grants a about 3 times the share of b, in sum the grantable rate

  Scenario: A new leader grants no shares until earlier shares have expired
    When the control fleet elects r2
    Then the control fleet grants nothing for a whole share period, and then grants shares
