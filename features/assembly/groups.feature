Feature: Every process computes the same placement of replicated groups on replicas

  Scenario: Groups are spread evenly over the replicas
    Then for any list of replicas each group has its full number of distinct members
    And the numbers of groups on two replicas differ by at most one

  Scenario: Members are in different zones when adjacent replicas of the list are
    Given 9 replicas listed in rotation from zones a, b and c
    Then each of 12 groups of 5 keeps a quorum when any one zone is lost

  Scenario: Groups on the same replicas have different founders
    Given 5 replicas listed in rotation from zones a, b and c
    Then groups 0 to 4 of 5 have 5 different founders

  Scenario: A group that holds no tenant resources leases by the weights given at submission
    Given a group without resources that holds jobs of tenant a with weight 1 and b with weight 3
    When 40 items of that group are leased
    Then 10 of these leases are of a and 30 of b

  Scenario: Jobs are held by the ledger groups, not by the root group
    Given a simulated many_groups with seed 4 for 0.5 minutes
    When the simulated run ends with these failures
      | kind          | target    | start_s | duration_s |
      | replica_crash | replica-6 | 12.0    | 2.0        |
    Then the simulated run has no violation
    And every accepted item of the simulated run is completed or cancelled
    And the root group holds no job, and more than one other group holds jobs
