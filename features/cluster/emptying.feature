Feature: A storage node can be emptied and removed

  Scenario: With a spare node the ledger moves off the emptied node and works without it
    Given a relayed fleet of 4 storage nodes
    And a job of 3 items is accepted
    When an operator asks to empty a voting storage node
    Then the emptying is taken
    And the emptying is done within 10 seconds
    When the emptied node is gone for good
    And another storage node loses its disk for good at that moment
    Then the job can still be read

  Scenario: Emptying is refused if too few nodes would remain
    Given a relayed fleet of 3 storage nodes
    When an operator asks to empty a voting storage node
    Then the emptying is refused as a conflict

  Scenario: Emptying an unknown node is refused
    Given a relayed fleet of 3 storage nodes
    When an operator asks to empty the node "nobody"
    Then the emptying is refused as not found
