Feature: A runner that restarts under its id is recognized as a new incarnation

  A restarted runner may keep its id. It has no state of its former run, and its sequence numbers start
  again. Each report carries its start time in milliseconds since 1970 (`born`). With reports ordered
  by sequence alone, a runner that had left and came back would be ignored until its new sequence had
  passed the old one.

  Scenario: A runner that had left takes work again from its first report on
    Given a controller that heard runner "r" born at 1000 say "ready" with sequence 7
    And it heard runner "r" born at 1000 say "gone" with sequence 8
    When it hears runner "r" born at 2000 say "ready" with sequence 1
    Then runner "r" takes work, and the change is pushed to all nodes

  Scenario: A late report of the former incarnation changes nothing
    Given a controller that heard runner "r" born at 2000 say "ready" with sequence 1
    When it hears runner "r" born at 1000 say "draining" with sequence 9
    And it hears runner "r" born at 1000 say "gone" with sequence 9
    Then runner "r" takes work, and nothing is pushed

  Scenario: A late report without a start time changes nothing
    Given a controller that heard runner "r" born at 2000 say "ready" with sequence 1
    When it hears runner "r" born at 0 say "draining" with sequence 9
    Then runner "r" takes work, and nothing is pushed

  Scenario: Within one incarnation a draining runner never gets ready again
    Given a controller that heard runner "r" born at 2000 say "draining" with sequence 3
    When it hears runner "r" born at 2000 say "ready" with sequence 4
    Then runner "r" takes no work

  Scenario: An incarnation that was superseded at its address does not affect the next one
    Given a controller that heard runner "r" born at 1000 say "ready" with sequence 7
    And it heard runner "s" born at 1500 say "ready" with sequence 9 at the same address
    When it hears runner "r" born at 2000 say "ready" with sequence 1
    Then runner "r" takes work, and the change is pushed to all nodes
    And runner "s" takes no work

  Scenario: The older of two runners at one address does not take it back with a late report
    Given a controller that heard runner "s" born at 2000 say "ready" with sequence 1
    When it hears runner "r" born at 1000 say "ready" with sequence 40 at the same address
    Then runner "s" takes work
    And runner "r" takes no work

  Scenario: The older of two runners has the address again once the younger is silent
    Given a controller that heard runner "s" born at 2000 say "ready" with sequence 1
    When 5 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 40 there
    Then runner "r" takes work, and the change is pushed to all nodes
    And runner "s" takes no work

  Scenario: A report for a service that is not in the table takes no address
    Given a controller that heard runner "r" born at 1000 say "ready" with sequence 7
    And the table has only the service of runner "r"
    When it hears runner "s" born at 2000 say "ready" with sequence 1 for another service there
    And it hears runner "r" born at 3000 say "ready" with sequence 1 for another service there
    Then runner "r" takes work
    When it hears runner "r" born at 1000 say "draining" with sequence 8
    Then runner "r" takes no work

  Scenario: A restarted runner warms up again
    Given a controller that heard runner "r" born at 1000 say "ready" with sequence 7
    When it hears runner "r" born at 2000 say "ready" with sequence 1, with 3 s of warm-up left
    Then runner "r" has 3 s of warm-up left, and the change is pushed to all nodes

  Scenario: Reports in any order, through any node, lead to the same result
    When the reports of 3 incarnations of 2 runners at one address reach 200 registries in random orders
    Then each registry ends with the last incarnation of each runner

  Scenario: Controllers that lose power remember the incarnation that they knew
    Given controllers that heard runner "r" born at 1000 with sequence 7, and born at 2000 with sequence 1
    When the controllers lose power and come back
    And runner "r" born at 1000 says "draining" with sequence 9
    Then runner "r" still takes work at every controller

  Scenario: A gateway drops what it recorded about the former incarnation
    Given a gateway that has ejected runner "r" for failures, and has recorded its cached prompts
    When the gateway hears that runner "r" has restarted
    Then the gateway has no ejection and no cached prompts on record for it

  Scenario: The leader that places requests drops what it recorded about the former incarnation
    Given a leader that has ejected runner "r" for failures
    When the leader hears that runner "r" has restarted
    Then the leader places requests there

  Scenario: A runner whose clock was set back before its restart takes work after a few reports
    # Guards against: a live runner that gets no work until its clock has passed the former start time.
    Given a controller that heard runner "r" born at 2000 say "gone" with sequence 8
    When 5 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 1 there
    And 2 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 2 there
    And 2 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 3 there
    Then runner "r" takes work

  # Guards against: late reports of a former incarnation that revive a runner which is gone.
  Scenario: A burst of reports that a partition delayed changes nothing
    Given a controller that heard runner "r" born at 2000 say "gone" with sequence 8
    When 9 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 5 there
    And it hears runner "r" born at 1000 say "ready" with sequence 6
    And 1 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 7 there
    And 1 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 8 there
    Then runner "r" takes no work

  # Guards against: a replaced incarnation that displaces its successor.
  Scenario: Reports of an incarnation that is known to have been replaced change nothing, however many
    Given a controller that heard runner "r" born at 1000 say "ready" with sequence 7
    And it heard runner "r" born at 2000 say "gone" with sequence 8
    When 5 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 8 there
    And 2 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 9 there
    And 2 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 10 there
    Then runner "r" takes no work

  # Guards against: mistaking one report that is delivered several times for a live runner.
  Scenario: Repeats of the same report are no sign of life
    Given a controller that heard runner "r" born at 2000 say "gone" with sequence 8
    When 5 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 3 there
    And 2 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 3 there
    And 2 s pass, and it hears runner "r" born at 1000 say "ready" with sequence 3 there
    Then runner "r" takes no work

  # Guards against: a live runner that is drained by late reports of the former incarnation.
  Scenario: While the known incarnation goes on reporting, an earlier one changes nothing
    Given a controller that heard runner "r" born at 2000 say "ready" with sequence 1
    When 3 s pass, and it hears runner "r" born at 1000 say "draining" with sequence 1 there
    And it hears runner "r" born at 2000 say "ready" with sequence 2
    And 3 s pass, and it hears runner "r" born at 1000 say "draining" with sequence 2 there
    And it hears runner "r" born at 2000 say "ready" with sequence 3
    And 3 s pass, and it hears runner "r" born at 1000 say "draining" with sequence 3 there
    Then runner "r" takes work

  # Guards against: reports that count at one controller only, so that a draining runner gets requests.
  Scenario Outline: All controllers know the runner whose clock was set back, also when it is <state>
    Given 2 controllers that heard runner "r" born at 2000 say "gone" with sequence 8
    When the first hears runner "r" born at 1000 say "ready" often enough to prove a new incarnation
    And the second receives the records of the first
    Then runner "r" takes work at both
    When the second hears runner "r" born at 1000 say "<state>" with sequence 9
    And the first receives the records of the second
    Then runner "r" takes no work at both
    When the second hears runner "r" born at 1500 say "ready" with sequence 1
    And the first receives the records of the second
    Then runner "r" takes work at both

    Examples:
      | state    |
      | draining |
      | gone     |

  # Guards against: ranking the former incarnation last because its start time is later.
  Scenario: A late report of the incarnation from before the clock was set back changes nothing
    Given 2 controllers that heard runner "r" born at 2000 say "gone" with sequence 8
    When the first hears runner "r" born at 1000 say "ready" often enough to prove a new incarnation
    And the second receives the records of the first
    And the second hears runner "r" born at 2000 say "draining" with sequence 7
    And the first receives the records of the second
    Then runner "r" takes work at both

  # Guards against: applying a deregistration to another incarnation.
  Scenario: A runner whose clock was set back deregisters with its own start time
    Given 2 controllers that heard runner "r" born at 2000 say "gone" with sequence 8
    When the first hears runner "r" born at 1000 say "ready" often enough to prove a new incarnation
    And runner "r" born at 1000 deregisters at the first
    And the second receives the records of the first
    Then runner "r" takes no work at both
