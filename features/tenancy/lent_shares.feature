Feature: Lending shares of a tenant's rate among hundreds of gateways

  Scenario: The running sums are those of the shares added up
    Given the lent shares of 40 gateways under 3000 random reports with lost answers
    Then at every step the sums of the lent shares were those of adding up anew
    And the lent shares never passed what may be lent

  Scenario: A lend costs the same among any number of gateways
    When 20 and 400 gateways report demand of one tenant to the quota lender for 8 seconds
    Then a lend looks at no more shares among 400 gateways than among 20

  Scenario: What has run out is forgotten, with its demand
    Given the lent shares of 40 gateways under 3000 random reports with lost answers
    When all grants of the lent shares have run out
    Then the lent shares are empty and their sums are 0
