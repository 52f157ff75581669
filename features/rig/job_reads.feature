Feature: The clients of the rig read every result after the last failure of a run
  The checkers use these reads, because results that were read earlier may be lost in a failure.

  Scenario Outline: A read in progress when the failures end is repeated: <answer>
    Given a rig client with a completed job of 12 items, whose gateway holds back <answer>
    When the failures of the rig client's run end
    Then the rig client is not settled
    When the rig client's gateway answers
    Then the rig client is settled
    And the checkers find each result of the rig client

    Examples:
      | answer           |
      | the job's state  |
      | the job's output |
      | the job's errors |

  Scenario: A job that was read before the failures ended is read once more
    Given a rig client with a completed job of 12 items, whose gateway holds back nothing
    When the failures of the rig client's run end
    Then the rig client is settled
    And the checkers find each result of the rig client

  Scenario: Results that are lost during a read are reported as missing
    Given a rig client with a completed job of 12 items, whose gateway holds back the job's errors
    When the results of the rig client's job are lost
    And the failures of the rig client's run end
    And the rig client's gateway answers
    Then the rig client is settled
    And the checkers find that the rig client's job lost 12 of 12 items
