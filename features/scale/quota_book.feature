Feature: Lending shares of a tenant's rate among hundreds of gateways

  Scenario: The running sums of a book are those of its shares
    Given a quota book of 40 gateways under 3000 random reports with lost answers
    Then at every step the quota book's sums were those of adding up anew
    And the quota book never lent beyond what may be lent

  Scenario: A lend costs the same among any number of gateways
    When 20 and 400 gateways report demand of one tenant to the quota lender for 8 seconds
    Then a lend looks at no more shares among 400 gateways than among 20

  Scenario: What has run out is forgotten, with its demand
    Given a quota book of 40 gateways under 3000 random reports with lost answers
    When all grants of the quota book have run out
    Then the quota book is empty and its sums are 0
