Feature: Operators' changes and watches are consistent across faults

  Scenario: Operators race with equal expected revisions
    Given a control fleet of 3 replicas with gateways g1
    And a service of the control fleet at some revision
    When 4 operators of the control fleet change the service expecting that revision
    Then exactly one operator of the control fleet wins
    And the others get a conflict naming the control fleet's current revision of it

  Scenario: A change re-sent after a lost reply gets the first outcome, across fail-over
    Given a control fleet of 3 replicas with gateways g1
    When a change is committed by the control fleet and its answer is lost with the leader
    Then the control fleet's client gets the first answer from the new leader
    And the change took effect once in the control fleet

  Scenario: A command that is not idempotent is not retried when its outcome is unknown
    Given a control fleet of 3 replicas with gateways g1
    And a service of the control fleet at some revision
    When a status for any revision is proposed to the control fleet and its answer is lost
    Then the control fleet's client says the outcome is unknown
    And the status was proposed once to the control fleet

  Scenario: A refusal after an attempt without a reply has an unknown outcome
    Given a control fleet of 3 replicas with gateways g1
    When every replica of the control fleet takes changes and answers nothing
    Then the control fleet's client says the outcome is unknown

  Scenario: A request to a follower reaches the leader through the follower's hint
    Given a control fleet of 5 replicas with gateways g1
    When the control fleet elects r4
    And an operator of the control fleet puts a service
    Then every gateway of the control fleet has that change within 3 seconds

  Scenario: A watch resumes at another replica without gap or duplicate
    Given a control fleet of 3 replicas with gateways g1
    And a watch at replica r2 of the control fleet
    When 10 services are put in the control fleet
    And replica r2 of the control fleet fails and the watch resumes at lagging replica r3
    And 10 services are put in the control fleet
    And replica r3 of the control fleet catches up
    Then the watch of the control fleet saw every revision once and in order

  Scenario: A watch of a compacted revision ends with an error line
    Given a control fleet of 3 replicas that keeps 5 events with gateways g1
    When 20 services are put in the control fleet
    And a watch from revision 1 starts at replica r1 of the control fleet
    Then the watch of the control fleet ends with a "revision_compacted" line naming the revision

  Scenario: A slow watcher gets an error line and is disconnected, and may resume from its last revision
    Given a control fleet of 3 replicas with gateways g1
    And a watch at replica r1 of the control fleet
    When the client of the control fleet's watch stops reading
    And 30 services are put in the control fleet
    Then the watch of the control fleet ends with a "too_slow" line naming the revision
    And the control fleet keeps no watcher at replica r1

  Scenario: A watch without events gets bookmarks with the in-force revision
    Given a control fleet of 3 replicas with gateways g1
    And a watch of Tenant at replica r1 of the control fleet
    When an operator of the control fleet puts a service
    And the control fleet runs 6 seconds
    Then the watch of the control fleet has bookmarks up to that change, in force, and no event

  Scenario: A patch concurrent with a status change keeps both
    Given a control fleet of 3 replicas with gateways g1
    And a service of the control fleet at some revision
    When its status changes while an operator of the control fleet patches it
    Then the control fleet's service has the patched spec and the new status

  Scenario: A patch that is sent again is not applied over a later change
    Given a control fleet of 3 replicas with gateways g1
    And a service of the control fleet at some revision
    When an operator of the control fleet patches it, another changes it, and the patch is sent again
    Then the re-sent patch gets a conflict and the control fleet keeps the later change
