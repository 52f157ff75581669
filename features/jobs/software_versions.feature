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

  Scenario Outline: A new leader continues an item at the version that wrote its text, beside <versions>
    Given a relayed fleet with a table and runners of versions <versions>
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events, which are committed
    And the leader that ran the item loses power
    Then the item runs next at the same version, after event 3

    Examples:
      | versions   |
      | v1, v1, v1 |
      | v1, v2, v1 |

  Scenario: A new leader that can't tell the version of an item's text begins it anew
    # The ledger keeps who wrote a text; a node of an earlier version does not tell it.
    Given a relayed fleet with a table and runners of versions v1, v2, v1
    And a leader that does not tell the ledger who writes a text
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events, which are committed
    And the leader that ran the item loses power
    Then the item runs next at any version, from its beginning
    When that run sends 4 events and ends whole
    Then the item's result is the text of that run only

  Scenario Outline: All runners start again under their ids at <again> while the ledger's leader is lost
    # Guards against: a text of two versions. The new leader took the only version that it knew for
    # the one that had written the text.
    Given a relayed fleet with a table and runners of versions v1, v1, v1
    When a gateway hands in a job of 1 item
    And the item's run sends 3 events, which are committed
    And all runners start again under their ids at <again>, and <lost> at that moment
    Then the item runs next <how>

    Examples:
      | again | lost                                          | how                                 |
      | v2    | the ledger's leader loses power               | at any version, from its beginning  |
      | v2    | both leaders lose power                       | at any version, from its beginning  |
      | v2    | all controllers and storage nodes lose power  | at any version, from its beginning  |
      | v1    | the ledger's leader loses power               | at version v1, after event 3        |
      | v1    | both leaders lose power                       | at version v1, after event 3        |
      | v1    | all controllers and storage nodes lose power  | at version v1, after event 3        |

  Scenario: No progress is committed for a text that begins anew behind a committed one
    # Guards against: later events appended to the discarded text in the ledger.
    Given an item of whose text 3 events are committed
    When its text is discarded, and another run of it has sent 5 events
    Then no further progress of the item is committed
