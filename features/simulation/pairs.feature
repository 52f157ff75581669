Feature: Failures that come together
  ``tools/fault_pairs.py`` runs every pair of kinds; these are pairs that meet in one mechanism.

  Scenario Outline: <first> with <second>
    Given a simulated <site> with seed 1 for 0.7 minutes
    When the simulated run ends with these failures
      | kind     | target          | start_s | duration_s |
      | <first>  | <first_target>  | 12.0    | 12.0       |
      | <second> | <second_target> | 13.5    | 9.0        |
    Then the simulated run has no violation

    Examples:
      | site      | first             | first_target  | second               | second_target |
      | guayaquil | replica_disk_loss | replica-1     | replica_disk_loss    | replica-2     |
      | guayaquil | replica_disk_loss | replica-4     | leader_silent_cut    |               |
      | guayaquil | power_loss        |               | sync_failure         | replica-3     |
      | taoyuan   | leader_silent_cut |               | zone_cut             | tyn-b         |
      | taoyuan   | zone_cut          | tyn-c         | runner_drain         | assistant-3   |
      | guayaquil | lost_answers      |               | gateway_crash        | gateway-gye-a |
      | guayaquil | engine_crash      | reports-1     | gateway_planned_stop | gateway-gye-a |
      | taoyuan   | one_way_loss      | gateway-tyn-a | replica_planned_stop | replica-1     |
      | taoyuan   | gateway_freeze    | gateway-tyn-b | machine_leaves       | assistant-2   |
      | guayaquil | weight_store_starved |            | engine_crash         | reports-2     |
