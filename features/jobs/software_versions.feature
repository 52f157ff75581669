Feature: An item's text is written by one software version

  Scenario: An item whose run breaks off continues at a runner of its version
    Given a relayed fleet with a table and runners of versions v1, v2, v1, v2
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events and its runner stops taking work
    Then the item runs next at the same version, after event 3

  Scenario: Without a runner of its version left, an item begins anew
    Given a relayed fleet with a table and runners of versions v1, v2, v3
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events and its runner stops taking work
    Then the item runs next at another version, from its beginning
    When that run sends 4 events and ends whole
    Then the item's result is the text of that run only

  Scenario: An item waits only briefly for a runner of its version that has no free slot
    Given a relayed fleet with a table and runners of versions v1, v2, v1
    When a gateway hands in a job of 1 item
    And online requests take all slots of the other runner of its version
    And the item's run sends 3 events and its runner stops taking work
    Then the item does not run again within 0.5 seconds
    And the item runs next at another version, from its beginning

  Scenario: A new leader continues an item while all runners have one version
    Given a relayed fleet with a table and runners of versions v1, v1, v1
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events, which are committed
    And the leader that ran the item loses power
    Then the item runs next at the same version, after event 3

  Scenario: A new leader that can't tell the version of an item's text begins it anew
    Given a relayed fleet with a table and runners of versions v1, v2, v1
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events, which are committed
    And the leader that ran the item loses power
    Then the item runs next at any version, from its beginning
    When that run sends 4 events and ends whole
    Then the item's result is the text of that run only
