Feature: The demonstration judges a fleet by what its users saw
  It notes accepted jobs durably, survives SIGKILL, and says so when something was broken.

  Scenario: A demonstration that is killed in the middle loses no accepted item
    Given a demonstration process that runs on a fresh data folder
    When the demonstration has noted accepted jobs and is killed by SIGKILL
    And the demonstration is started again on its data folder for 2 seconds
    Then the demonstration exits with 0
    And the demonstration's last line counts the items noted before the kill as earlier items
    And the demonstration's last line says that nothing was lost, duplicated or broken

  Scenario: A run in which all went well is clean
    Given a demonstration history of 3 accepted items and 2 online requests
    Then the demonstration's judgement is clean
    And the demonstration's judgement counts 3 accepted_items, 3 completed_items and 2 online_requests

  Scenario Outline: What is broken is counted and is not clean
    Given a demonstration history of 3 accepted items and 2 online requests
    But in the demonstration history <breach>
    Then the demonstration's judgement is not clean
    And the demonstration's judgement counts <count> <field>

    Examples:
      | breach                                          | count | field                    |
      | the last item is missing at the second reading  | 1     | lost                     |
      | the last item has a wrong result                | 1     | lost                     |
      | the last item was set aside                     | 1     | lost                     |
      | the last item stands twice in one reading       | 1     | duplicated               |
      | a job counts one item more than it has          | 1     | duplicated               |
      | the last online answer lacks its end            | 1     | broken_answers           |
      | the last online answer broke off                | 1     | broken_answers           |
      | the last online request was never answered      | 1     | broken_answers           |
      | a drained engine got work 3 seconds later       | 1     | drained_engine_late_sends |

  Scenario: Work in the first seconds of a drain is no late send
    Given a demonstration history of 3 accepted items and 2 online requests
    But in the demonstration history a drained engine got work 1 seconds later
    Then the demonstration's judgement is clean

  Scenario: A note that was cut short is cut off, and those before it stand
    Given a demonstration journal with 2 noted jobs
    When the end of the demonstration journal is cut off by 10 bytes
    Then the demonstration journal reads 1 earlier job as start 2
    And the demonstration journal reads 1 earlier job as start 3

  Scenario: A damaged journal is refused before anything starts
    Given a demonstration journal with 2 noted jobs
    When line 2 of the demonstration journal is damaged
    And rainsail demo is run on the demonstration journal's folder
    Then rainsail exits with 2
    And rainsail's stderr names the demonstration journal and "line 2"
    And nothing but the demonstration journal and its lock is in the folder

  Scenario: A data folder of another version is refused before anything starts
    Given a demonstration journal with 2 noted jobs
    When rainsail demo is run on the demonstration journal's folder
    Then rainsail exits with 2
    And rainsail's stderr names the demonstration journal and "another version of rainsail"
    And nothing but the demonstration journal and its lock is in the folder

  Scenario: Two demonstrations do not share a data folder
    Given a demonstration journal with 1 noted job
    When the demonstration journal is held open
    And rainsail demo is run on the demonstration journal's folder
    Then rainsail exits with 2
    And rainsail's stderr names the demonstration journal's folder and "another demonstration"

  Scenario Outline: Bad options of rainsail demo are refused
    When rainsail is run with "demo <options>"
    Then rainsail exits with 2
    And its stderr says "<words>"

    Examples:
      | options                      | words                                    |
      | --seconds=0                  | --seconds: expected a number from        |
      | --seconds=soon               | --seconds: expected a number, got 'soon' |
      | --seed=1.5                   | --seed: expected a whole number          |
      | --data=README.md --seconds=2 | README.md                                |
      | --history=nowhere/h.avro     | --history: nowhere is no folder          |
