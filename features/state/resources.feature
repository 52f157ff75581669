Feature: Replicated resources
  Operators' changes carry an expected revision and a change id.

  Scenario: Two operators race with equal expected revisions
    Given a replicated state with tenant north at weight 1
    When a replicated state gets two changes of tenant north with equal expected revisions
    Then a replicated state accepted the first change and answered the second with a conflict
    And the replicated state's conflict names the current revision

  Scenario: A re-sent change gets its first answer, also after snapshots
    Given a replicated state with tenant north at weight 1
    When a replicated state gets two changes of tenant north with equal expected revisions
    And the replicated state is restored from its snapshot
    And both changes of the replicated state are sent again
    Then the replicated state gave both their first answers again
    And the replicated state stored no further change

  Scenario: A change id can't be used for another change
    Given a replicated state with tenant north at weight 1
    When a replicated state gets another change under the same change id
    Then the replicated state answers "conflict"

  Scenario: Answers are evicted only beyond the change window
    Given a replicated state that keeps 3 answered changes
    When 4 different changes are applied to the replicated state
    Then the last 3 changes get their first answers from the replicated state
    And the first change counts as new to the replicated state

  Scenario: A watch behind the event window has to list again
    Given a replicated state that keeps 3 events
    When 5 different changes are applied to the replicated state
    Then the replicated state has events since revision 2 but not since revision 1
    And the event window is the same after a restore of the replicated state

  Scenario: The revision in force never falls and never runs ahead
    Given a replicated state with tenant north at weight 1
    When the replicated state's revision 1 is marked in force, then revision 0
    Then the replicated state's revision in force is 1
    When the replicated state's revision 99 is marked in force
    Then the replicated state's revision in force is 1

  Scenario: A status written under an old revision is refused
    Given a replicated state with a runner
    When two controllers write the runner's status to the replicated state at one revision
    Then the replicated state took the first status and refused the second
    And the runner's spec generation in the replicated state is unchanged
    And writing the same status again leaves the replicated state's revision
