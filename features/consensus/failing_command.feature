Feature: A command that the state machine fails at has an error as its outcome

  The loop that applies committed entries knew one error, that of an entry which can't be read. Any other
  exception left it without a next turn: the entry was not counted as applied, the next commit met it
  again, and so did every replica, while the leader went on leading and answered nobody any more:

    unhandled_error KeyError (at each replica, at each commit)

  The same command fails in the same way at each replica, so each counts it as applied, its proposer is
  told that it failed, and what lies behind it goes on. What fails at one replica for want of memory,
  disk or a readable log ends that replica, since its state would differ from the others'.

  Scenario: The group goes on behind a command that fails at each replica
    Given a consensus group of 3 replicas
    And 3 numbers are committed in the consensus group
    When each replica's state machine fails at the next number
    Then its proposer is told of an internal fault whose outcome is unknown
    And 3 more numbers are committed in the consensus group
    And each replica has applied all acknowledged numbers
    And the log of "command_failed" names the entry and the command

  Scenario: A replica that starts again passes the command that fails
    Given a consensus group of 3 replicas
    And 3 numbers are committed in the consensus group
    When each replica's state machine fails at the next number
    And the leader of the consensus group loses its power and starts again
    Then 3 more numbers are committed in the consensus group
    And each replica has applied all acknowledged numbers

  Scenario Outline: A replica that fails for itself alone stops with a fault: <error>
    Given a consensus group of 3 replicas
    When a follower's state machine raises <error> at what comes next
    And 3 numbers are committed in the consensus group
    Then that follower has stopped with a storage fault that names the entry

    Examples:
      | error          |
      | MemoryError    |
      | OSError        |
      | RecursionError |

  Scenario: A listener that fails keeps neither answers nor other listeners back
    Given a consensus group of 3 replicas
    When a listener to the leader's applied entries fails, with another one behind it
    Then 3 more numbers are committed in the consensus group
    And the other listener was told of each of them

  Scenario: A listener to leadership that fails doesn't keep it from the others
    Given a consensus group of 3 replicas
    When the first listener to each replica's leadership fails
    And the leader of the consensus group loses its power and starts again
    Then the next leader's other listener was told that it leads
