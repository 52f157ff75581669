Feature: Checkers judge a recorded history
  Each checker accepts a clean history and finds the breach it is meant for.

  Scenario: A clean history has no violations
    Given a recorded history of one request, one job and one change
    When the recorded history is checked
    Then the checkers find nothing

  Scenario Outline: A breach is found
    Given a recorded history of one request, one job and one change
    And the recorded history has the breach "<breach>"
    When the recorded history is checked
    Then the checkers find exactly a violation of "<checker>"

    Examples:
      | breach                                   | checker           |
      | an item without a result                 | exactly_once      |
      | a result that changed                    | exactly_once      |
      | a result with the wrong text             | exactly_once      |
      | one key accepted as two jobs             | exactly_once      |
      | work on a cancelled job                  | cancellation      |
      | a result after the cancel                | cancellation      |
      | an online request behind batch           | online_first      |
      | an answer of another request             | whole_answer      |
      | parts of another answer, then a fault    | whole_answer      |
      | a refusal of a request that ran          | refusal_truth     |
      | a non-repeatable request run twice       | at_most_once      |
      | a request without an answer              | answered          |
      | work at a drained runner                 | drain             |
      | a request cut by a planned stop          | planned_stop      |
      | two winners of one revision              | changes           |
      | a change answered in two ways            | changes           |
      | a read behind an accepted change         | linearizable_read |
      | a gateway that went back                 | no_revert         |
      | work under a revision that was replaced  | in_force          |
      | a change that never came into force      | in_force_in_time  |

  Scenario: A history survives its file
    Given a recorded history of one request, one job and one change
    When the recorded history is written and read back
    Then the read history has the same hash

  Scenario: A file that is no history is refused
    When a file of random bytes is read as a history
    Then reading the history fails with a codec error
