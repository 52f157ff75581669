Feature: What a policy is worth is measured by turning it off

  Scenario: Every policy is on unless a settings file says otherwise
    Given a node's settings file without switches
    Then every policy is on

  Scenario Outline: A policy is turned off, or on, by its switch
    Given a node's settings file that turns the switch of "<policy>" over
    Then only "<policy>" is the other way than by default

    Examples:
      | policy           |
      | placement        |
      | admission        |
      | prompt_homes     |
      | prefix_memory    |
      | reading_clock    |
      | silence          |
      | ejection         |
      | overload_order   |
      | batch_reserve    |
      | yield_pause      |
      | foreign_load     |
      | progress_notes   |

  Scenario: A switch of an unknown policy is refused by name
    Given a node's settings file that turns the switch of "luck" over
    Then the settings are refused, naming "mechanisms.luck"

  Scenario: Policies that are off do nothing
    Given a relay whose policies are all off
    When a runner of it fails 5 times
    And a runner of it says nothing for 9 seconds
    And a runner of it has to read for 3 seconds
    And a prompt of 5000 tokens was sent to a runner of it
    Then that runner is still taken for sound, heard and ready to read
    And the prompt would be read whole again

  Scenario: The report of a day is read
    When the bench reports
      """
      day                  own/srv  score  worth served refused failed  weakest part
      scale-1                13/21   1.00  0.722  0.858   0.000  0.015  worst windows 0.45
      """
    Then the run of "scale-1" was worth 0.722

  Scenario: A report without the day is a fault that shows what there was instead
    When the bench reports
      """
      the day was given up
      """
    Then the run of "scale-1" has no result: "the day was given up"

  Scenario: The table tells worth with and without, and how far the seeds are apart
    Given runs of "silence"
      | seed | off     | worth |
      | 1    | all on  | 0.80  |
      | 1    | silence | 0.70  |
      | 2    | all on  | 0.60  |
      | 2    | silence | 0.58  |
      | 3    | all on  | 0.90  |
    Then the table's only line says "0.700 | 0.640 | +0.060 | +0.020 to +0.100"

  Scenario: What was played is not played again
    Given runs of "silence"
      | seed | off     | worth |
      | 1    | all on  | 0.80  |
    When the runs are kept in a file and read again
    Then the same runs are known

  Scenario: A damaged file of runs is refused by its line
    Given a file of runs whose second line is cut off
    Then reading the runs fails, naming "line 2"
