Feature: A machine that was suspended trusts nothing that has run out meanwhile

  A machine may be suspended for seconds. `CLOCK_MONOTONIC` stands still while it is; leases, lent
  quotas, grants to warming runners and leases of items went by it. A leader that woke believed for the
  rest of its lease that nobody else could lead, and answered reads from what it held. The processes'
  clock is `CLOCK_BOOTTIME` now, and the reactor's timers go by it too.

  Scenario: The processes' clock counts the time of a suspension
    Given a system whose monotonic clock stands still during a suspension
    When 5 s pass awake, and the machine is suspended for 3 s
    Then the process's clock is 8 s on
    And a timer of 7 s is due at once

  Scenario Outline: On waking the leader of <group> answers nothing from before
    Given a relayed fleet whose leader of the <group> is suspended while another takes over
    When it wakes, and is asked at once for <what>
    Then it says that it doesn't lead

    Examples:
      | group         | what                        |
      | root group    | the routing table           |
      | root group    | the draining zones          |
      | root group    | the held requests           |
      | ledger        | results of a job            |
      | ledger        | a place for a request       |
      | ledger        | a share of a tenant's quota |

  Scenario: On waking the ledger's leader starts no items
    Given a relayed fleet whose leader of the ledger is suspended while another takes over
    When it wakes, and plans items at once
    Then it has sent no item since

  Scenario Outline: A clock that stands still is noticed: <group>, <what>
    Given processes whose clock stands still during a suspension
    And a relayed fleet whose leader of the <group> is suspended while another takes over
    When it wakes, and is asked at once for <what>
    Then it answers as if it still led

    Examples:
      | group         | what                        |
      | root group    | the routing table           |
      | ledger        | a share of a tenant's quota |
