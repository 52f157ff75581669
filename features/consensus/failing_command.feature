Feature: A command at which the state machine raises has an error as its outcome

  Guards against a group that stops applying entries: an exception from the state machine ends the apply
  loop, the entry doesn't count as applied, and every replica fails at it again with each commit. The
  leader keeps leading and answers nobody, and the log repeats:

    unhandled_error KeyError (at each replica, at each commit)

  A command fails in the same way at each replica, so each counts it as applied, its proposer gets an
  error, and later entries go on. A failure of one replica alone (memory, disk or an unreadable log)
  stops that replica, since its state would diverge from the others'.

  Scenario: The group goes on after a command that fails at each replica
    Given a consensus group of 3 replicas
    And 3 numbers are committed in the consensus group
    When each replica's state machine fails at the next number
    Then its proposer gets an internal fault whose outcome is unknown
    And 3 more numbers are committed in the consensus group
    And each replica has applied all acknowledged numbers
    And the log of "command_failed" names the entry and the command

  Scenario: A restarted replica passes the failing command
    Given a consensus group of 3 replicas
    And 3 numbers are committed in the consensus group
    When each replica's state machine fails at the next number
    And the leader of the consensus group loses its power and starts again
    Then 3 more numbers are committed in the consensus group
    And each replica has applied all acknowledged numbers

  Scenario Outline: A replica with a local failure stops with a fault: <error>
    Given a consensus group of 3 replicas
    When a follower's state machine raises <error> at the next entry
    And 3 numbers are committed in the consensus group
    Then that follower has stopped with a storage fault that names the entry

    Examples:
      | error          |
      | MemoryError    |
      | OSError        |
      | RecursionError |

  Scenario: A failing listener holds up neither answers nor other listeners
    Given a consensus group of 3 replicas
    When a listener to the leader's applied entries fails, with another one registered after it
    Then 3 more numbers are committed in the consensus group
    And the other listener was notified of each of them

  Scenario: A failing leadership listener doesn't prevent the others' notification
    Given a consensus group of 3 replicas
    When the first listener to each replica's leadership fails
    And the leader of the consensus group loses its power and starts again
    Then the next leader's other listener was notified that it leads
