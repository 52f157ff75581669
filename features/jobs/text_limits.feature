Feature: A runner whose text of an item never ends takes a bounded part of the ledger's leader

  Scenario Outline: A text over the largest that a result can have breaks its run off, and the item goes on
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And a job of 1 item is handed in
    When the item's run brings events of <size> bytes without end
    Then its connection is closed after at most <most> events
    And the leader holds nothing of the item's text
    When two minutes of such runs have passed
    Then the item has run at most 30 times, and is not listed
    When the item's next run brings its whole text
    Then the item is listed with this text

    Examples:
      | size  | most   |
      | 1000  | 1000   |
      | 50000 | 20     |
      | 4     | 170000 |

  Scenario: Without room the text that holds most is given up, and its item goes on
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And the storage nodes have room for 600000 bytes
    And a job of 2 items is handed in
    When one item's run has brought 300 events of 1000 bytes, and another's 3
    And both bring 100 events of 1000 bytes more
    Then the first item's run was broken off, and the other's goes on
    And the leader holds at most 600000 bytes of their texts

  Scenario: The ledger keeps a bounded part of an item's progress
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And a job of 1 item is handed in
    When the item's run brings 50000 events of 4 bytes within 10 seconds
    Then each storage node keeps at most 262144 bytes of progress, and some
    When the item's run ends, and another one begins alike
    Then the item is listed with 50000 events
    And each storage node keeps no progress

  Scenario: The ledger keeps a bounded part of the progress of all items, and resumes there
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And the storage nodes have room for 1200000 bytes
    And a job of 2 items is handed in
    When each of 2 runs brings 200 events of 1000 bytes within 10 seconds
    Then each storage node keeps at most 300000 bytes of progress, and some
    When the ledger's leader crashes
    Then each next run resumes behind the progress that was kept

  Scenario: The texts of items whose runs broke off take a bounded part of the leader
    Given a relayed fleet with a table and 2 runners that answer nothing yet
    And the storage nodes have room for 1200000 bytes
    And a job of 2 items is handed in
    When each of 2 runs brings 200 events of 1000 bytes within 1 seconds
    And both runs break off
    Then one of the next runs resumes behind event 200, and the other one begins anew
