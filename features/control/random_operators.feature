Feature: What operators are answered is one history, whatever happens meanwhile

  Scenario: Random changes, reads, crashes, cuts, lost disks, and gateways that come and go
    When 4 random operators work on real control replicas for 20 seconds, under 3 seeds
    Then each acknowledged change of the random operators took effect once, each refused one never
    And every expected revision of the random operators was the one replaced
    And the random operators' answers are in the order of real time
    And each list that the random operators read is exactly the store at its revision
    And what was said to be in force for the random operators was so at every moment
    And the random operators' gateways all have the last state, and never saw a revision fall

  Scenario: The checks notice lists read without a lease
    Given control replicas that answer lists without asking whether they lead
    When 4 random operators work on real control replicas for 20 seconds, under 2 seeds
    Then a check of the random operators' answers fails

  Scenario: The checks notice a change that is applied again when it is sent again
    Given a control state that forgets the answers of changes at once
    When 4 random operators work on real control replicas for 20 seconds, under 2 seeds
    Then a check of the random operators' answers fails

  Scenario Outline: Watches resume at a replica after its restart, without gap or repeat
    Given 3 real control replicas that snapshot every 20 entries, with 1 gateway views
    When a watcher follows <replica> of the real control replicas while it is restarted 3 times
    Then that watcher of the real control replicas has seen every revision once, in order

    Examples:
      | replica    |
      | the leader |
      | a follower |

  Scenario: A change sent again after its window gets a typed answer and reverts nothing
    Given 3 real control replicas that remember 5 changes
    When a change that expects a revision is put to the real control replicas
    And 10 further changes of the same service are put to the real control replicas
    And that change is sent again to the real control replicas
    Then it gets a conflict that names the current revision of the real control replicas
    And the last change of that service stands at every real control replica
