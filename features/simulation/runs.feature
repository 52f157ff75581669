Feature: Simulated fleets keep their promises under failures
  The daemons' own code runs on a virtual clock; the checkers read the recorded history alone.

  Scenario Outline: A site with every kind of failure ends clean and completes what it accepted
    Given a simulated <site> with seed <seed> for 1.5 minutes
    When the simulated run ends with the failures drawn from its seed
    Then the simulated run has no violation
    And at least 6 kinds of failure were brought about
    And every accepted item of the simulated run is completed or cancelled
    And the simulated run carried at least 150 online requests and 100 items

    Examples:
      | site        | seed |
      | guayaquil   | 2    |
      | taoyuan     | 3    |
      | many_groups | 4    |

  Scenario: The founding replica loses its disk next to another one
    The new identity of the founder raised its term without end and deposed every leader.
    Given a simulated taoyuan with seed 1 for 1.0 minutes
    When the simulated run ends with these failures
      | kind                     | target    | start_s | duration_s |
      | second_loss_after_repair | replica-5 | 10.0    | 1.0        |
      | replica_freeze           | replica-4 | 30.0    | 2.0        |
    Then the simulated run has no violation

  Scenario: A paused replica goes on with timers that fell due meanwhile
    The pause made them look as made already, and taking them back ended the process.
    Given a simulated guayaquil with seed 1 for 0.6 minutes
    When the simulated run ends with these failures
      | kind           | target    | start_s | duration_s |
      | replica_freeze | replica-1 | 12.0    | 8.0        |
      | replica_freeze | replica-2 | 21.0    | 8.0        |
      | replica_freeze | replica-3 | 13.0    | 10.0       |
    Then the simulated run has no violation

  Scenario: A gateway is paused past the deadlines of its own calls
    Given a simulated guayaquil with seed 12 for 0.75 minutes
    When the simulated run ends with these failures
      | kind           | target        | start_s | duration_s |
      | gateway_freeze | gateway-gye-a | 12.0    | 14.0       |
      | gateway_freeze | gateway-gye-b | 19.5    | 14.0       |
      | gateway_freeze | gateway-gye-c | 19.9    | 14.0       |
    Then the simulated run has no violation

  Scenario: A gateway whose lease has run out sends no further attempt of what it had admitted
    It went on under a configuration that was no longer in force.
    Given a simulated guayaquil with seed 3 for 0.7 minutes
    When the simulated run ends with these failures
      | kind           | target        | start_s | duration_s |
      | gateway_freeze | gateway-gye-c | 10.5    | 8.4        |
      | zone_cut       | gye-c         | 12.5    | 20.0       |
    Then the simulated run has no violation

  Scenario: A planned stop delivers what was sent before the process ends
    Given a simulated guayaquil with seed 38 for 0.6 minutes
    When the simulated run ends with these failures
      | kind                 | target        | start_s | duration_s |
      | gateway_planned_stop | gateway-gye-a | 12.0    | 4.0        |
      | gateway_planned_stop | gateway-gye-b | 18.0    | 4.0        |
      | gateway_planned_stop | gateway-gye-c | 24.0    | 4.0        |
    Then the simulated run has no violation

  Scenario: A timer that fell due in a pause can still be taken back
    Given a paused process with timers due in 1 and 2 seconds
    When the process goes on after 3 seconds and the first call takes the second timer back
    Then the second timer's call is never made
