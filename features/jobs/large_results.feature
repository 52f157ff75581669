Feature: Jobs whose results exceed one message between nodes are kept as all others

  Scenario Outline: Storage nodes lose their disks one after the other beside a job of <size> MB of results
    # Guards against: a node that never catches up, so that the next lost disk loses all jobs.
    Given a relaying fleet whose nodes refuse messages over 8 MiB
    And a job of <items> items with <size> MB of results
    When storage-1 loses its disk and catches up within <seconds> s
    And storage-2 loses its disk and catches up within <seconds> s
    And storage-3 loses its disk and catches up within <seconds> s
    Then each storage node has all results of the job

    Examples:
      | size | items | seconds |
      | 4    | 200   | 4.7     |
      | 12   | 200   | 4.7     |
      | 20   | 150   | 4.7     |

  Scenario: A node that was down while the log was compacted catches up beside a large job
    # Guards against: the same, for a node that has kept its disk.
    Given a relaying fleet whose nodes refuse messages over 8 MiB
    And storage-3 of the fleet loses power
    And a job of 150 items with 20 MB of results
    When storage-3 starts again and catches up within 4.7 s
    Then each storage node has all results of the job

  Scenario: An entry that no message holds is refused, and later ones are committed
    # Guards against: a group that commits nothing more behind an entry that no follower can get.
    Given a relaying fleet whose nodes refuse messages over 8 MiB
    When a job with a body of 9 MB is proposed to the ledger
    Then it is refused as too large
    Given a job of 10 items with 1 MB of results
    Then each storage node has all results of the job
