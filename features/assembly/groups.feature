Feature: Replicated groups are placed on replicas alike by every process

  Scenario: Any number of groups is spread over any number of replicas
    Then for any list of replicas each group has its full number of distinct members
    And the numbers of groups on two replicas differ by at most one round

  Scenario: Members stand in different zones when neighbours of the list do
    Given 9 replicas listed in turn from zones a, b and c
    Then each of 12 groups of 5 keeps a quorum without any one zone

  Scenario: Groups on the same replicas have different founders
    Given 5 replicas listed in turn from zones a, b and c
    Then groups 0 to 4 of 5 have 5 different founders

  Scenario: A group that doesn't keep the tenants leases by the weights given at submission
    Given a group without resources that keeps jobs of tenant a with weight 1 and b with weight 3
    When 40 items of that group are leased
    Then 10 of these leases are of a and 30 of b

  Scenario: Jobs are kept by groups of their own
    Given a simulated many_groups with seed 4 for 0.5 minutes
    When the simulated run ends with these failures
      | kind          | target    | start_s | duration_s |
      | replica_crash | replica-6 | 12.0    | 2.0        |
    Then the simulated run has no violation
    And every accepted item of the simulated run is completed or cancelled
    And no job is kept by the root group, and more than one group keeps jobs
