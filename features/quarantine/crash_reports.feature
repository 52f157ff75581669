Feature: Nodes report their latest crashes to controllers that start anew

  Guards against: crashes and trials that nobody counts, as the controllers that had heard of them are
  lost.

  Scenario Outline: A crash is reported again for 10 s
    Given a node that reports a crash of "runner-1" under "one" and "two" at second 100
    Then at second <now> it reports <crashes> crashes again, under "<suspects>"

    Examples:
      | now | crashes | suspects |
      | 101 | 1       | one two  |
      | 110 | 1       | one two  |
      | 111 | 0       |          |

  Scenario: A suspect that was answered after the crash is left out, and the answer is reported
    # Guards against: sound requests that are held by crashes that an answer has cleared them of.
    Given a node that reports a crash of "runner-1" under "one" and "two" at second 100
    When it reports an answer to "one" at second 101
    Then at second 102 it reports 1 crashes again, under "two"
    And at second 102 it reports answers to "one" again

  Scenario: A suspect of a crash after its answer is not cleared by that answer
    Given a node that reports a crash of "runner-1" under "one" and "two" at second 100
    When it reports an answer to "one" at second 101
    And it reports a crash of "runner-2" under "one" and "three" at second 102
    Then at second 103 it reports 2 crashes again, under "one two three"
    And at second 103 it reports answers to "" again

  Scenario: An answer is not reported again once its request is on the list
    # Guards against: an old answer that clears what was held after it.
    Given a node that reports a crash of "runner-1" under "one" and "two" at second 100
    When it reports an answer to "one" at second 101
    And "one" is held 1 times and not released at second 102
    Then at second 103 it reports answers to "" again

  Scenario Outline: The trial of an entry that was <state>
    Given a node that reports a crash of "runner-1" under "other" and "two" at second 90
    When "one" is held 1 times and released at second 100
    And a run of "one" that was sent at second <sent> crashes at second 103
    And "one" is <state> at second 104
    Then it reports "<trials>" as failed trials to a controller that starts

    Examples:
      | sent | state                        | trials |
      | 102  | held 1 times and released    | one 1  |
      | 99   | held 1 times and released    |        |
      | 102  | held 2 times and not released |       |
      | 102  | held 2 times and released    |        |
      | 102  | answered                     |        |

  Scenario: A trial of an entry that was cleared and held again meanwhile is not reported
    Given a node that reports a crash of "runner-1" under "other" and "two" at second 90
    When "one" is held 1 times and released at second 100
    And a run of "one" that was sent at second 102 crashes at second 103
    And the list is empty at second 104
    And "one" is held 1 times and released at second 105
    Then it reports "" as failed trials to a controller that starts

  Scenario: A node keeps 64 crashes and 4096 runs at the most
    Given a node that reports 100 crashes of 100 runs each at second 100
    Then at second 101 it reports 40 crashes again

  Scenario Outline: A controller counts a failed trial of an entry <state>
    Given a controller that is told of a failed trial of "one", held 1 times, at second 100
    Then at second <now> it holds "<held>" again when "one" is <state>

    Examples:
      | now | state                         | held |
      | 101 | held 1 times and released     | one  |
      | 101 | held 1 times and not released |      |
      | 101 | held 2 times and released     |      |
      | 101 | not on the list               |      |
      | 111 | held 1 times and released     |      |

  Scenario: A report waits for the list of the new leader
    # Guards against: a report that is dropped as the leader has not applied the last hold yet.
    Given a controller that is told of a failed trial of "one", held 2 times, at second 100
    Then at second 101 it holds "" again when "one" is held 1 times and released
    And at second 102 it holds "one" again when "one" is held 2 times and released
    And at second 103 it holds "" again when "one" is held 3 times and released
    And at second 104 it holds "" again when "one" is held 2 times and released
