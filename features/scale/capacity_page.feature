Feature: The capacity page says what its measurements give

  Scenario: The page's tables are those that its measurements give
    Then the capacity page is up to date with the committed measurements

  Scenario: A changed measurement shows as a page that is out of date
    When a committed measurement of the capacity page is changed in memory
    Then the capacity page would read differently

  Scenario: A figure over its limit is said not to fit
    When a node's bytes per second are measured as 5000 in memory
    Then the capacity table "node control" says "**no**" for "bytes, all sent and received"
    When a node's bytes per second are measured as 1000 in memory
    Then the capacity table "node control" says "yes" for "bytes, all sent and received"
