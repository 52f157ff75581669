Feature: A replica that missed many changes follows again by a snapshot and a short tail

  Scenario: The missed changes come as a snapshot, only the latest as log entries
    Given 3 bench replicas on the virtual clock that snapshot every 200 entries
    When one of the bench replicas is down while 2000 changes commit, and starts again
    Then the bench replica takes most of the missed changes at one step
    And it takes at most 800 of the changes from the bench group's log after that

  Scenario: With the default settings a snapshot is due long before 50,000 changes
    Then by default a bench group snapshots at least every 25000 entries
