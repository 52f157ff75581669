Feature: Operators' changes and reads are linearizable under random faults

  Scenario: Random changes, reads, crashes, partitions, lost disks, and gateway restarts
    When 4 random operators work on real control replicas for 20 seconds, under 3 seeds
    Then each acknowledged change of the random operators took effect once, and no refused one did
    And every expected revision of the random operators was the one replaced
    And the random operators' answers agree with the order of real time
    And each list that the random operators read is exactly the store at its revision
    And no gateway of the random operators served below the in-force revision at any moment
    And the random operators' gateways all have the last state, and never saw a revision fall

  Scenario: The checks detect lists read without a read lease
    Given control replicas that answer lists without checking their leadership
    When 4 random operators work on real control replicas for 20 seconds, under 2 seeds
    Then a check of the random operators' answers fails

  Scenario: The checks detect a change that is applied again when it is re-sent
    Given a control state that does not remember the outcomes of changes
    When 4 random operators work on real control replicas for 20 seconds, under 2 seeds
    Then a check of the random operators' answers fails

  Scenario Outline: Watches resume at a replica after its restart, without gap or duplicate
    Given 3 real control replicas that snapshot every 20 entries, with 1 gateway views
    When a watcher follows <replica> of the real control replicas while it is restarted 3 times
    Then that watcher of the real control replicas has seen every revision once, in order

    Examples:
      | replica    |
      | the leader |
      | a follower |

  Scenario: A change re-sent after it left the change window gets a conflict and reverts nothing
    Given 3 real control replicas that remember 5 changes
    When a change that expects a revision is put to the real control replicas
    And 10 further changes of the same service are put to the real control replicas
    And that change is sent again to the real control replicas
    Then it gets a conflict that names the current revision of the real control replicas
    And the last change of that service is stored at every real control replica
