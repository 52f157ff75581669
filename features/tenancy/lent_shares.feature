Feature: Lending shares of a tenant's rate among hundreds of gateways

  Scenario: The running sums equal recomputed sums of the shares
    Given the lent shares of 40 gateways under 3000 random reports with lost replies
    Then at every step the sums of the lent shares equalled recomputed sums
    And the lent shares never exceeded the lendable rate

  Scenario: A lend costs the same for any number of gateways
    When 20 and 400 gateways report demand of one tenant to the quota lender for 8 seconds
    Then a lend reads no more shares among 400 gateways than among 20

  Scenario: Expired shares are dropped together with their demand
    Given the lent shares of 40 gateways under 3000 random reports with lost replies
    When all grants of the lent shares have expired
    Then the lent shares are empty and their sums are 0
