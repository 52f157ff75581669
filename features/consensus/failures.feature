Feature: A consensus group survives each failure, and any two failures on different machines

  Scenario Outline: One failure, at the leader or at a follower
    Then a consensus group survives "<fault>" at the leader and at a follower

    Examples:
      | fault                      |
      | power cut                  |
      | cut off by dropped packets |
      | can receive but not send   |
      | frozen                     |
      | disk lost                  |
      | sync fails                 |
      | disk full                  |
      | disk slow                  |
      | bit flipped                |
      | network lossy              |
      | clock fast                 |

  Scenario: Any two failures
    Then a consensus group survives every pair of its failures, one of them at the leader

  Scenario: Acknowledged entries are synced by a quorum
    Then a consensus group's power cut during a slow sync, with the leader cut off, loses nothing

  Scenario: The check detects an acknowledgement that precedes the sync
    Given the consensus group has the defect "ack-before-sync"
    Then a consensus group's power cut during a slow sync, with the leader cut off, is noticed

  Scenario: A failed sync stops the member, which never acknowledges the writes of that sync
    Given a consensus group of 3 replicas
    And 5 numbers are committed in the consensus group
    When the syncs of the consensus group's leader fail and a number is proposed there
    Then the proposal at the consensus group's old leader ends with an unknown outcome
    And the old leader of the consensus group has stopped with a storage fault naming the file
    And the other replicas of the consensus group elect a leader and commit

  Scenario: A falsely reported sync and a power cut lose nothing while the other replicas run
    Given a consensus group of 5 replicas
    And 5 numbers are committed in the consensus group
    When the disk of a consensus group's follower reports syncs that it doesn't do while 10 numbers are committed
    And that follower of the consensus group loses power and starts again
    Then every replica of the consensus group applies all of them
    And the consensus group's leader has reported that follower's lost entries

  Scenario: A replica on the data folder of another fleet doesn't start
    Given a consensus group of 3 replicas
    When a follower of the consensus group starts again for another fleet
    Then that follower of the consensus group has not started, and the fault names both fleets
    And 5 numbers are committed in the consensus group

  Scenario: A slow follower gets at most the configured bytes in flight
    Given a consensus group of 3 replicas with 2000 bytes in flight at most
    When a follower of the consensus group answers after 2 seconds
    And 300 numbers are proposed to the consensus group's leader in batches of 20
    Then the consensus group's leader never had more than 2000 bytes and a batch in flight to it
    And the numbers are acknowledged without the consensus group's slow follower
    And every replica of the consensus group applies all of them
