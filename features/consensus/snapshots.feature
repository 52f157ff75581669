Feature: Followers far behind catch up by snapshot and tail, and logs stay short

  Scenario: A follower far behind gets the snapshot in chunks, then the tail
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off in silence
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    Then every replica of the consensus group applies all of them
    And the follower of the consensus group got every chunk of a snapshot in order, none twice
    And no log of the consensus group holds more than 120 entries

  Scenario: A lost chunk is sent again, and those before it are not
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off in silence
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again, but its chunk 10 is lost once
    Then every replica of the consensus group applies all of them
    And the follower of the consensus group got every chunk of a snapshot in order, none twice

  Scenario: A follower that restarts in the middle of a snapshot begins it anew
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off in silence
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again and loses power at chunk 10
    Then the follower of the consensus group still stands where it was before the snapshot
    When the crashed replica of the consensus group starts again
    Then every replica of the consensus group applies all of them

  Scenario: A follower that loses power while it stores a snapshot keeps the old state or the new
    Then a consensus group's follower survives a power cut at any moment of storing a snapshot

  Scenario: A leader that dies in the middle of a snapshot is followed by one that sends its own
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off in silence
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again and the leader dies at chunk 10
    And the crashed replica of the consensus group starts again
    Then every replica of the consensus group applies all of them

  Scenario: A leader that snapshots anew in the middle begins the newer one
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off in silence
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again and meanwhile 200 are committed
    Then every replica of the consensus group applies all of them

  Scenario: Acknowledged entries beyond an old snapshot that comes late are kept
    Given a consensus group of 3 replicas that snapshots every 50 entries
    And 400 numbers are committed in the consensus group
    When an old chunk of the consensus group's snapshot comes late to a follower
    Then that follower of the consensus group has lost nothing and stored no snapshot
    And every replica of the consensus group applies all of them

  Scenario: A follower that can't sync its own snapshot while another waits ends, and does not hang
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group fails to write its own snapshot while it gets one
    Then that follower of the consensus group has stopped with a storage fault
    When the crashed replica of the consensus group starts again
    Then every replica of the consensus group applies all of them

  Scenario: All replicas restart behind their snapshots
    Given a consensus group of 5 replicas that snapshots every 50 entries
    And 230 numbers are committed in the consensus group
    When every replica of the consensus group loses power and starts again
    And 5 numbers are committed in the consensus group
    Then every replica of the consensus group applies all of them

  Scenario: A replica 20000 changes behind follows again within 2 seconds
    Given a consensus group of 3 replicas that snapshots every 2000 entries
    When a follower of the consensus group is cut off in silence
    And 20000 numbers are committed in the consensus group, 500 at a time
    And the cut-off replica of the consensus group is connected again
    Then that follower of the consensus group applies all of them within 2 seconds

  Scenario: A leader that can't read on in its snapshot doesn't tell what it has read as the whole
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 5 of its snapshot, once
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice

  Scenario Outline: A reading of the snapshot that fails <times> times at chunk <number> is begun anew
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk <number> of its snapshot, <times> times
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And the reading of the consensus group's snapshot has failed <times> times
    And no error left the members of the consensus group

    Examples:
      | number | times |
      | 0      | 1     |
      | 5      | 1     |
      | 29     | 1     |
      | 0      | 2     |
      | 5      | 2     |
      | 29     | 2     |
      | 5      | 5     |
      | 30     | 1     |
      | 30     | 2     |

  Scenario: A follower that is cut off in the middle of a failing transfer goes on with it
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 12 of its snapshot, once
    And the cut-off replica of the consensus group is connected again until it has chunk 9
    And the follower of the consensus group is cut off anew for 5 seconds
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And the reading of the consensus group's snapshot has failed 1 times
    And the cut-off replica of the consensus group took every chunk once, chunk 9 at most twice
    And no error left the members of the consensus group

  Scenario: A damaged snapshot is never told as whole, and a new one takes its place
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 305 commands are committed by the consensus group
    When the snapshot of the consensus group's leader is damaged in its middle
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And no error left the members of the consensus group
    And the leader of the consensus group starts again on the disk that was damaged

  Scenario: A leader that can't read its snapshot goes on leading and answers reads
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 0 of its snapshot, 1000 times
    And the cut-off replica of the consensus group takes the place of the other follower
    Then the leader of the consensus group answers a read within 2 seconds
    And the leader of the consensus group is still the same after 20 seconds
    And no error left the members of the consensus group

  Scenario: What a member has to do beside sending a chunk is done though the chunk can't be read
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 0 of its snapshot, 1000 times
    And that leader has a chunk to send, a read to answer and a commit index to take up at once
    Then that leader has answered the read, taken up the commit index and planned its next heartbeat

  Scenario: The operator is told of a snapshot that can't be read, but not at every heartbeat
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 5 of its snapshot, 1000 times
    And the cut-off replica of the consensus group is connected again for 25 seconds
    Then the consensus group's log has told 3 times that a snapshot "can't be read"
    And the consensus group's leader has written 1 snapshot in place of the unreadable one
    And no error left the members of the consensus group

  Scenario Outline: A follower installs nothing but the snapshot that it was told of
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group <mistake>, once
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And the consensus group's log has told 1 times that a snapshot is "refused"
    And no error left the members of the consensus group

    Examples:
      | mistake                              |
      | tells the end in place of chunk 5    |
      | tells the end in place of chunk 0    |
      | sends chunk 5 in place of chunk 6    |
      | sends a flipped bit in chunk 7       |
      | sends a chunk behind the last one    |

  Scenario: The snapshot of a state that holds nothing arrives as that
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands without a number are committed by the consensus group
    When the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds no number and has applied all
    And the cut-off replica of the consensus group has got a snapshot

  Scenario: A received snapshot that the state can't be restored from ends its replica
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the state of the cut-off replica of the consensus group can't be restored
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group has stopped at "consensus.install"
    And no error left the members of the consensus group

  Scenario: A state that can't be encoded once doesn't keep its replica from later snapshots
    Given a consensus group of 3 replicas that snapshots every 100 entries
    When the leader of the consensus group can't encode the next snapshot of its state
    And 1300 commands are committed by the consensus group
    Then the consensus group's log has told 1 times that a snapshot is "not written"
    And the snapshot of the consensus group's leader is newer than entry 1000

  Scenario: A replica doesn't start on a reading of its snapshot that ends too early
    Then a replica's log isn't recovered from a snapshot whose reading ends without its sum
    And a replica's log isn't recovered from a snapshot whose sum is another's

  Scenario: A learner in a lost replica's place isn't made a voter by half a snapshot
    Given a consensus group of 3 replicas that snapshots every 100 entries and repairs after 2 seconds
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 5 of its snapshot, once
    And a follower of the consensus group comes back with an empty disk for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And the reading of the consensus group's snapshot has failed 1 times
    And the cut-off replica of the consensus group is a voter
