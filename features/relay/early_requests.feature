Feature: Requests that reach a gateway before its first routing table are held briefly

  Scenario: Requests are served as soon as the table is there
    Given a gateway that knows no table yet
    When 3 clients send requests before the table is there
    And 0.4 seconds pass at the gateway without a table
    Then no early client has an answer yet
    When the table is there
    Then 3 requests have gone to runners

  Scenario: The held request of a client that disconnects is dropped
    Given a gateway that knows no table yet
    When 2 clients send requests before the table is there
    And the first of them leaves
    And the table is there
    Then 1 requests have gone to runners

  Scenario: Held requests are refused if no table arrives
    Given a gateway that knows no table yet
    When 2 clients send requests before the table is there
    And 0.8 seconds pass at the gateway without a table
    Then each early client has 503 with a time to come back

  Scenario: A gateway that has run for a while without a table refuses at once
    Given a gateway that knows no table yet
    When 2.1 seconds pass at the gateway without a table
    And 2 clients send requests before the table is there
    Then each early client has 503 with a time to come back

  Scenario: Requests beyond the limit are refused at once, and the others are held
    Given a gateway that knows no table yet
    When 510 clients send requests before the table is there
    And the table is there
    Then 500 requests have gone to runners

  Scenario: Bodies are held up to a total size
    Given a gateway that knows no table yet
    When 9 clients send requests of 1 MiB before the table is there
    And the table is there
    Then 8 requests have gone to runners
