Feature: A machine that was suspended does not rely on leases that expired meanwhile

  A machine may be suspended for seconds. `CLOCK_MONOTONIC` stops meanwhile, so by that clock leases,
  quota shares, grants to warming runners and item leases would not expire: on waking, a former leader
  would consider its lease valid and answer reads from stale state. Therefore the processes' clock and
  the reactor's timers use `CLOCK_BOOTTIME`.

  Scenario: The processes' clock counts the time of a suspension
    Given a system whose monotonic clock stops during a suspension
    When 5 s pass awake, and the machine is suspended for 3 s
    Then the process's clock is 8 s on
    And a timer of 7 s is due at once

  Scenario Outline: On waking the former leader of <group> answers nothing from stale state
    Given a relayed fleet whose leader of the <group> is suspended while another takes over
    When it wakes, and is asked at once for <what>
    Then it answers that it does not lead

    Examples:
      | group         | what                        |
      | root group    | the routing table           |
      | root group    | the draining zones          |
      | root group    | the held requests           |
      | ledger        | results of a job            |
      | ledger        | a place for a request       |
      | ledger        | a share of a tenant's quota |

  Scenario: On waking the former leader of the ledger starts no items
    Given a relayed fleet whose leader of the ledger is suspended while another takes over
    When it wakes, and plans items at once
    Then it has sent no item since

  Scenario Outline: The checks detect a clock that stops during a suspension: <group>, <what>
    Given processes whose clock stops during a suspension
    And a relayed fleet whose leader of the <group> is suspended while another takes over
    When it wakes, and is asked at once for <what>
    Then it answers as if it still led

    Examples:
      | group         | what                        |
      | root group    | the routing table           |
      | ledger        | a share of a tenant's quota |
