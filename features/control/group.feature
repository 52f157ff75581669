Feature: Control over real replicated groups on simulated disks and network

  Scenario: Changes reach gateways and are marked as in force across repeated fail-overs
    Given 5 real control replicas with 3 gateway views
    When 4 times a change is put, and the leader of the real control replicas is killed and started
    Then every gateway view of the real control replicas has every change
    And the real control replicas mark the last change as in force within 12 seconds
    And no gateway view of the real control replicas saw a revision fall

  Scenario: A partitioned leader answers no request after its read lease
    Given 5 real control replicas with 2 gateway views
    When the leader of the real control replicas is partitioned and another is elected
    And a change is put to the real control replicas
    Then the partitioned leader answers nothing, not even a client on its side
    And every gateway view of the real control replicas has every change

  Scenario: A change re-sent across fail-over, snapshot and restart gets its first answer
    Given 5 real control replicas that snapshot every 20 entries, with 1 gateway views
    When a change is put to the real control replicas
    And 40 further changes are put to the real control replicas
    And all real control replicas are killed and started again
    And the same change is sent again to the real control replicas
    Then both answers of the real control replicas are the same

  Scenario: Acknowledged changes survive the loss of two replicas on a lossy network
    Given 5 real control replicas that lose 2 of 100 messages, with 2 gateway views
    When 30 changes are put while two of the real control replicas are killed in turn
    Then every acknowledged change is stored once at the real control replicas
    And every gateway view of the real control replicas has every change
    And no gateway view of the real control replicas saw a revision fall
