Feature: Control over real replicated groups on simulated disks and network

  Scenario: Changes reach gateways and get in force through fail-over after fail-over
    Given 5 real control replicas with 3 gateway views
    When 4 times a change is put, and the leader of the real control replicas is killed and started
    Then every gateway view of the real control replicas has every change
    And the real control replicas mark the last change as in force within 12 seconds
    And no gateway view of the real control replicas saw a revision fall

  Scenario: A leader cut off in silence answers nobody after its lease
    Given 5 real control replicas with 2 gateway views
    When the leader of the real control replicas is cut off in silence and another is elected
    And a change is put to the real control replicas
    Then the leader that was cut off answers nothing, also not to a client beside it
    And every gateway view of the real control replicas has every change

  Scenario: A change re-sent across fail-over, snapshot and restart gets its first answer
    Given 5 real control replicas that snapshot every 20 entries, with 1 gateway views
    When a change is put to the real control replicas
    And 40 further changes are put to the real control replicas
    And all real control replicas are killed and started again
    And the same change is sent again to the real control replicas
    Then both answers of the real control replicas are the same

  Scenario: Two losses and a lossy network: what was acknowledged is there
    Given 5 real control replicas that lose 2 of 100 messages, with 2 gateway views
    When 30 changes are put while two of the real control replicas die one after the other
    Then every change that was answered is there once at the real control replicas
    And every gateway view of the real control replicas has every change
    And no gateway view of the real control replicas saw a revision fall
