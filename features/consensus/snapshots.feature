Feature: Followers far behind catch up by snapshot and log tail, and logs stay short

  Scenario: A follower far behind gets the snapshot in chunks, then the log tail
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off by dropped packets
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    Then every replica of the consensus group applies all of them
    And the follower of the consensus group got every chunk of a snapshot in order, none twice
    And no log of the consensus group holds more than 120 entries

  Scenario: A lost chunk is sent again, and those before it are not
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off by dropped packets
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again, but its chunk 10 is lost once
    Then every replica of the consensus group applies all of them
    And the follower of the consensus group got every chunk of a snapshot in order, none twice

  Scenario: A chunk that is larger than a message is sent in parts
    # Guards against: a follower that never catches up, as a chunk does not fit into a message.
    Given a consensus group of 3 replicas with chunks of 400 numbers and messages of 500 bytes
    When a follower of the consensus group is cut off by dropped packets
    And 900 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    Then every replica of the consensus group applies all of them
    And the follower of the consensus group got every chunk of a snapshot in order, none twice

  Scenario: A lost part is sent again, and those before it are not
    Given a consensus group of 3 replicas with chunks of 400 numbers and messages of 500 bytes
    When a follower of the consensus group is cut off by dropped packets
    And 900 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again, but its chunk 10 is lost once
    Then every replica of the consensus group applies all of them
    And the follower of the consensus group got every chunk of a snapshot in order, none twice

  Scenario: A member of an earlier version gets whole chunks
    # Guards against: parts that a member of an earlier version can't read.
    Given a consensus group of 3 replicas that snapshots every 50 entries
    And the members of the consensus group know no snapshots in parts
    When a follower of the consensus group is cut off by dropped packets
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    Then every replica of the consensus group applies all of them
    And the follower of the consensus group got no part of a snapshot

  Scenario: A member of an earlier version for which a chunk is too large is named in the log
    # Guards against: a member that can't catch up, of which nothing tells.
    Given a consensus group of 3 replicas with chunks of 400 numbers and messages of 500 bytes
    And the members of the consensus group know no snapshots in parts
    When a follower of the consensus group is cut off by dropped packets
    And 900 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again
    And 12 seconds pass in the consensus group
    Then the log says that a message to that follower is too large
    And the log says that the follower does not catch up
    And the leader of the consensus group counts 1 stalled snapshot transfer

  Scenario: A follower that restarts during a snapshot transfer starts it again
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off by dropped packets
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again and loses power at chunk 10
    Then the follower of the consensus group still has its state from before the snapshot
    When the crashed replica of the consensus group starts again
    Then every replica of the consensus group applies all of them

  Scenario: A follower that loses power while it stores a snapshot keeps the old state or the new
    Then a consensus group's follower survives a power cut at any moment of storing a snapshot

  Scenario: When a leader crashes during a snapshot transfer, the next leader sends its own
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off by dropped packets
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again and the leader crashes at chunk 10
    And the crashed replica of the consensus group starts again
    Then every replica of the consensus group applies all of them

  Scenario: A leader that takes a snapshot during a transfer sends the newer one
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group is cut off by dropped packets
    And 400 numbers are committed in the consensus group
    And the cut-off replica of the consensus group is connected again and meanwhile 200 are committed
    Then every replica of the consensus group applies all of them

  Scenario: A late chunk of an old snapshot doesn't remove acknowledged entries after it
    Given a consensus group of 3 replicas that snapshots every 50 entries
    And 400 numbers are committed in the consensus group
    When an old chunk of the consensus group's snapshot comes late to a follower
    Then that follower of the consensus group has lost nothing and stored no snapshot
    And every replica of the consensus group applies all of them

  Scenario: A follower that can't sync its own snapshot while another one waits stops instead of hanging
    Given a consensus group of 3 replicas that snapshots every 50 entries
    When a follower of the consensus group fails to write its own snapshot while it gets one
    Then that follower of the consensus group has stopped with a storage fault
    When the crashed replica of the consensus group starts again
    Then every replica of the consensus group applies all of them

  Scenario: All replicas restart from their snapshots
    Given a consensus group of 5 replicas that snapshots every 50 entries
    And 230 numbers are committed in the consensus group
    When every replica of the consensus group loses power and starts again
    And 5 numbers are committed in the consensus group
    Then every replica of the consensus group applies all of them

  Scenario: A replica 20000 entries behind catches up within 2 seconds
    Given a consensus group of 3 replicas that snapshots every 2000 entries
    When a follower of the consensus group is cut off by dropped packets
    And 20000 numbers are committed in the consensus group, 500 at a time
    And the cut-off replica of the consensus group is connected again
    Then that follower of the consensus group applies all of them within 2 seconds

  Scenario: A leader that fails to read its snapshot doesn't report the part it has read as complete
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 5 of its snapshot, once
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice

  Scenario Outline: A snapshot read that fails <times> times at chunk <number> is retried
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk <number> of its snapshot, <times> times
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And reading the consensus group's snapshot has failed <times> times
    And no member of the consensus group raised an unhandled error

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

  Scenario: A follower that is cut off during a failing transfer resumes it
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 12 of its snapshot, once
    And the cut-off replica of the consensus group is connected again until it has chunk 9
    And the follower of the consensus group is cut off again for 5 seconds
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And reading the consensus group's snapshot has failed 1 times
    And the cut-off replica of the consensus group took every chunk once, chunk 9 at most twice
    And no member of the consensus group raised an unhandled error

  Scenario: A damaged snapshot is never sent as complete, and a new one replaces it
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 305 commands are committed by the consensus group
    When the snapshot of the consensus group's leader is damaged in its middle
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And no member of the consensus group raised an unhandled error
    And the leader of the consensus group starts again on the disk that was damaged

  Scenario: A leader that can't read its snapshot goes on leading and answers reads
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 0 of its snapshot, 1000 times
    And the cut-off replica of the consensus group replaces the other follower in the quorum
    Then the leader of the consensus group answers a read within 2 seconds
    And the leader of the consensus group is still the same after 20 seconds
    And no member of the consensus group raised an unhandled error

  Scenario: A chunk that can't be read doesn't prevent a member's other effects
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 0 of its snapshot, 1000 times
    And that leader has to send a chunk, answer a read and apply a commit index at once
    Then that leader has answered the read, applied the commit index and scheduled its next heartbeat

  Scenario: A snapshot that can't be read is logged, but not at every heartbeat
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 5 of its snapshot, 1000 times
    And the cut-off replica of the consensus group is connected again for 25 seconds
    Then the consensus group has logged 3 times that a snapshot "can't be read"
    And the consensus group's leader has written 1 snapshot in place of the unreadable one
    And no member of the consensus group raised an unhandled error

  Scenario Outline: A follower installs only a snapshot that matches the leader's checksum
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the leader of the consensus group <mistake>, once
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And the consensus group has logged 1 times that a snapshot is "refused"
    And no member of the consensus group raised an unhandled error

    Examples:
      | mistake                                |
      | sends the checksum in place of chunk 5 |
      | sends the checksum in place of chunk 0 |
      | sends chunk 5 in place of chunk 6      |
      | sends a flipped bit in chunk 7         |
      | sends a chunk after the last one       |

  Scenario: The snapshot of an empty state is transferred as an empty state
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands without a number are committed by the consensus group
    When the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group holds no number and has applied all
    And the cut-off replica of the consensus group has got a snapshot

  Scenario: A received snapshot that can't be restored stops the replica
    Given a consensus group of 3 replicas that snapshots every 100 entries
    And a follower of the consensus group is cut off
    And 300 commands are committed by the consensus group
    When the state of the cut-off replica of the consensus group can't be restored
    And the cut-off replica of the consensus group is connected again for 20 seconds
    Then the cut-off replica of the consensus group has stopped at "consensus.install"
    And no member of the consensus group raised an unhandled error

  Scenario: A state that fails to encode once doesn't prevent later snapshots
    Given a consensus group of 3 replicas that snapshots every 100 entries
    When the leader of the consensus group can't encode the next snapshot of its state
    And 1300 commands are committed by the consensus group
    Then the consensus group has logged 1 times that a snapshot is "not written"
    And the snapshot of the consensus group's leader is newer than entry 1000

  Scenario: A replica doesn't start from an incomplete or mismatched snapshot
    Then a replica's log isn't recovered from a snapshot that ends without its checksum
    And a replica's log isn't recovered from a snapshot that has another snapshot's checksum

  Scenario: A learner that replaces a lost replica isn't promoted by half a snapshot
    Given a consensus group of 3 replicas that snapshots every 100 entries and repairs after 2 seconds
    And 300 commands are committed by the consensus group
    When the leader of the consensus group can't read chunk 5 of its snapshot, once
    And a follower of the consensus group comes back with an empty disk for 20 seconds
    Then the cut-off replica of the consensus group holds every acknowledged command, none twice
    And reading the consensus group's snapshot has failed 1 times
    And the cut-off replica of the consensus group is a voter
