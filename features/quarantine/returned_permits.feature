Feature: A permit for a trial whose run never began goes to the next request

  Guards against: sound items that wait for 8 s for each permit whose run was refused by a runner that
  was down; and against a fourth late run of a fatal part, as a permit that lapsed counted for nothing.

  Scenario: The runner of a trial refuses the connection
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    When the part "shared01" is held and put on trial
    And 3 s go by in that fleet
    And all its runners crash while idle, to start again 0.5 s later
    And a job of 4 items with the parts "shared01" is handed in
    And 6 s go by in that fleet
    Then all items of the last job are done

  Scenario: Gateways are lost with their reports on the crashes of trials
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And its runners crash at the part "dead01" too
    And each gateway is lost 0.015 s after it has run into a fatal part
    When the part "dead01" is held and put on trial
    And a request with the part "dead01" comes every 0.5 s for 90 s
    Then at most 3 runs of a fatal part or item began

  Scenario: A node that has not heard of a clearing yet keeps no other trial waiting
    # Guards against: a permit for entries that were cleared some milliseconds before, which grants
    # nothing and keeps all other trials waiting for 2 s.
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    When the part "cleared01" is held and put on trial
    And the part "other01" is held and put on trial
    And 3 s go by in that fleet
    And the part "cleared01" is cleared
    Then a trial of the part "cleared01" and then one of the part "other01" are permitted at once

  Scenario: A trial runs for 12 s without a sign of its runner
    # Guards against: a sound part that is held again, as its trial is slow to begin to write.
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    When the part "shared01" is held and put on trial
    And 3 s go by in that fleet
    And a gateway gets a permit for the part "shared01"
    And 12 s go by in that fleet
    Then the part "shared01" was held 1 times

  Scenario Outline: A permit that <end>
    Given a leader of controllers since 0 s
    When a request that was held 1 times is released at 10 s
    And its permit <end>
    Then its next trial is permitted at <next> s

    Examples:
      | end                                       | next |
      | is given back unused 0.3 s later          | 11.3 |
      | is given back by another node             | 20   |
      | is given back under another number        | 20   |
      | is known to have been used                | 19   |
      | was given back before it was given        | 11.1 |

  Scenario Outline: 8 s after a permit that <end>
    Given a leader of controllers since 0 s
    When a request that was held 1 times is released at 10 s
    And its permit <end>
    Then 8 s later its run <counts> as one whose report may be lost

    Examples:
      | end                                       | counts        |
      | is mentioned no more                      | counts        |
      | is known to have been used                | does not count |
      | is followed by a report on a crash of it  | does not count |
      | is given back unused 0.3 s later          | does not count |
